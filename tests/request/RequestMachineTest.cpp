#include "request/RequestMachine.h"
#include "request/RequestVerdict.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccahook;
using request::Outcome;
using request::RequestMachine;
using request::RequestReason;
using request::RequestState;

TEST_CASE("A request that gets no answer")
{
    RequestMachine machine;
    REQUIRE(machine.queue());

    SUBCASE("did not run when it was never dispatched")
    {
        CHECK(machine.fail(RequestReason::QueueFull));
        CHECK(machine.state() == RequestState::Refused);
        CHECK(machine.outcome() == Outcome::NotRun);
        CHECK_FALSE(machine.dispatch());
    }

    SUBCASE("may have run once it was, whatever the reason")
    {
        REQUIRE(machine.dispatch());
        CHECK(machine.fail(RequestReason::QueueFull));
        CHECK(machine.state() == RequestState::Unknown);
        CHECK(machine.outcome() == Outcome::Unknown);
        CHECK_FALSE(machine.answer());
    }

    SUBCASE("may have run when an earlier sending of its key may have")
    {
        CHECK(machine.failUnknown(RequestReason::EarlierRunUnknown));
        CHECK(machine.outcome() == Outcome::Unknown);
    }
}

TEST_CASE("A repeated answer is not a second run")
{
    RequestMachine machine;
    CHECK(machine.repeat());
    CHECK(machine.outcome() == Outcome::Repeated);
    CHECK_FALSE(machine.dispatch());
}

TEST_CASE("No order of events makes a dispatched request \"not run\"")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& events) {
        RequestMachine machine;
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

TEST_CASE("Every reason has a name and a status of an error")
{
    for (std::size_t index = 0; index < kernel::EnumNames<RequestReason>::names.size(); ++index)
        CHECK(request::statusOf(static_cast<RequestReason>(index)).code >= 400);
}
