#include "request/RequestStateMachine.h"
#include "request/OutcomeResponse.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccahook;
using request::Outcome;
using request::RequestReason;
using request::RequestState;
using request::RequestStateMachine;

TEST_CASE("A request without an answer is \"not run\" only if it was never dispatched")
{
    RequestStateMachine machine;
    REQUIRE(machine.queue());

    SUBCASE("It did not run when it was never dispatched")
    {
        CHECK(machine.fail(RequestReason::QueueFull));
        CHECK(machine.state() == RequestState::Refused);
        CHECK(machine.outcome() == Outcome::NotRun);
        CHECK_FALSE(machine.dispatch());
    }

    SUBCASE("It may have run once it was dispatched, whatever the reason")
    {
        REQUIRE(machine.dispatch());
        CHECK(machine.fail(RequestReason::QueueFull));
        CHECK(machine.state() == RequestState::Unknown);
        CHECK(machine.outcome() == Outcome::Unknown);
        CHECK_FALSE(machine.answer());
    }

    SUBCASE("It may have run when an earlier submission of its key may have run")
    {
        CHECK(machine.failUnknown(RequestReason::EarlierRunUnknown));
        CHECK(machine.outcome() == Outcome::Unknown);
    }
}

TEST_CASE("A repeated answer is not a second run")
{
    RequestStateMachine machine;
    CHECK(machine.repeat());
    CHECK(machine.outcome() == Outcome::Repeated);
    CHECK_FALSE(machine.dispatch());
}

TEST_CASE("No order of events gives a dispatched request the outcome \"not run\"")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& events) {
        RequestStateMachine machine;
        bool dispatched = false;
        bool ended = false;
        for (const std::uint8_t event : events) {
            switch (event % 7) {
            case 0:
                machine.queue();
                break;
            case 1:
                dispatched = machine.dispatch() || dispatched;
                break;
            case 2:
                machine.answer();
                break;
            case 3:
                machine.repeat();
                break;
            case 4:
                machine.fail(RequestReason::Draining);
                break;
            case 5:
                machine.failUnknown(RequestReason::StillRunning);
                break;
            default:
                machine.cancel();
                break;
            }
            RC_ASSERT(!ended || machine.ended());
            ended = machine.ended();
            RC_ASSERT(!dispatched || machine.outcome() != Outcome::NotRun);
            RC_ASSERT(!dispatched || machine.outcome() != Outcome::Repeated);
        }
    }));
}

TEST_CASE("Every reason has a name and an HTTP error status")
{
    for (std::size_t index = 0; index < kernel::EnumNames<RequestReason>::names.size(); ++index)
        CHECK(request::statusOf(static_cast<RequestReason>(index)).code >= 400);
}
