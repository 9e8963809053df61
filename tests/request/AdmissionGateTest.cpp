#include "request/AdmissionGate.h"
#include "request/RequestPolicy.h"

#include <doctest/doctest.h>
#include <kj/debug.h>

using namespace yuccahook;
using namespace yuccahook::request;
using namespace std::chrono_literals;

namespace {

/// Passes offers directly to another gate, or fails when there is none.
class DirectTransport final : public OfferTransport {
public:
    AdmissionGate* peer = nullptr;

    kj::Promise<OfferReply> offer(std::uint32_t, const AdmissionRequest& request, SlotLoad load) override
    {
        if (!peer)
            return KJ_EXCEPTION(DISCONNECTED, "unreachable");
        auto admission = peer->handleOffer(request, 1, load);
        return OfferReply { kj::mv(admission.slot), peer->load() };
    }
};

struct Agent {
    explicit Agent(kj::Timer& timer)
        : gate(timer, transport, counters, 1)
    {
    }

    observe::Counters counters;
    DirectTransport transport;
    AdmissionGate gate;
};

RequestInfo query()
{
    RequestInfo info;
    info.method = "GET";
    info.path = "/status";
    info.deadline = 1s;
    return info;
}

} // namespace

TEST_CASE("The gate grants the slots of its backend server and of a peer")
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    kj::TimerImpl timer(kj::origin<kj::TimePoint>());
    Agent here(timer);
    Agent there(timer);
    here.gate.setSlots(1);
    auto first = here.gate.admit(query()).wait(scope);
    REQUIRE(first.slot.get() != nullptr);
    auto second = here.gate.admit(query());
    CHECK_FALSE(second.poll(scope));

    SUBCASE("A waiting request gets the slot that an answered request releases")
    {
        first.slot->finish(DispatchResult::Answered);
        CHECK(second.wait(scope).slot.get() != nullptr);
    }
    SUBCASE("A slot that is destroyed is released")
    {
        first.slot = nullptr;
        CHECK(second.wait(scope).slot.get() != nullptr);
    }
    SUBCASE("A caller that disconnects is removed from the queue")
    {
        second = nullptr;
        CHECK(here.gate.load().waiting == 0);
    }
    SUBCASE("A request that waits until its deadline is refused by the timer")
    {
        timer.advanceTo(kj::origin<kj::TimePoint>() + 1 * kj::SECONDS);
        auto refused = second.wait(scope);
        CHECK(refused.slot.get() == nullptr);
        CHECK(refused.reason == RequestReason::DeadlineInQueue);
        CHECK(refused.retryAfter > 0ms);
    }
    SUBCASE("A drain refuses requests that still wait after the grace period")
    {
        auto patient = query();
        patient.deadline = 1min;
        auto third = here.gate.admit(patient);
        here.gate.drain();
        timer.advanceTo(kj::origin<kj::TimePoint>() + 2 * kj::SECONDS);
        CHECK(third.wait(scope).reason == RequestReason::Draining);
    }
    SUBCASE("The next request gets the slot of a peer, which is released with it")
    {
        there.gate.setSlots(1);
        here.transport.peer = &there.gate;
        here.gate.setPeers({ 2 });
        auto third = here.gate.admit(query()).wait(scope);
        REQUIRE(third.slot.get() != nullptr);
        CHECK(there.gate.load().running == 1);
        third.slot = nullptr;
        CHECK(there.gate.load().running == 0);
        CHECK(here.counters.values().at("requests_offers_total{result=\"taken\"}") == 1);
    }
    SUBCASE("A request stays queued when the peer cannot be reached")
    {
        here.gate.setPeers({ 2 });
        auto third = here.gate.admit(query());
        CHECK_FALSE(third.poll(scope));
        CHECK(here.gate.load().waiting == 2);
    }
    SUBCASE("A retry gets a peer's slot within the retry budget, and none beyond it")
    {
        there.gate.setSlots(8);
        here.transport.peer = &there.gate;
        here.gate.setPeers({ 2 });
        AdmissionSettings settings;
        settings.retryBurst = 1;
        settings.retryPercent = 0;
        here.gate.setSettings(settings);
        auto again = first.slot->retry(DispatchResult::Shed).wait(scope);
        CHECK(again.slot.get() != nullptr);
        auto other = second.wait(scope);
        REQUIRE(other.slot.get() != nullptr);
        CHECK(other.slot->retry(DispatchResult::Shed).wait(scope).reason == RequestReason::RetryBudgetSpent);
    }
    SUBCASE("A slot may outlive its gate")
    {
        auto brief = kj::heap<Agent>(timer);
        brief->gate.setSlots(1);
        auto kept = brief->gate.admit(query()).wait(scope);
        brief = nullptr;
        kept.slot->finish(DispatchResult::Answered);
    }
}

TEST_CASE("A release note sets the admission settings, and a fault names the path of its key")
{
    const auto policy = parseRequestPolicy(R"({"admission": {"discipline": "least-attained", "reservedSlots": 2,
        "maximumWaitMillis": 250, "priorities": [{"method": "POST", "path": "/bids", "priority": 0},
        {"path": "/photos", "priority": 3}]}})");
    CHECK(policy.admission.discipline == Discipline::LeastAttained);
    CHECK(policy.admission.maximumWait == 250ms);
    CHECK(policy.admission.priorityOf("POST", "/bids/7") == 0);
    CHECK(policy.admission.priorityOf("GET", "/photos/7") == 3);
    CHECK(policy.admission.priorityOf("GET", "/bids/7") == 1);

    settings::Faults faults;
    const auto document = nlohmann::json::parse(R"({"admission": {"discipline": "lucky", "priorities": [{}]}})");
    settings::ObjectReader reader(document, "added[0].requests", faults);
    RequestPolicy faulty;
    readRequestPolicy(reader, faulty);
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].path == "added[0].requests.admission.discipline");
    CHECK(faults[1].path == "added[0].requests.admission.priorities[0].path");
}
