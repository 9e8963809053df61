#include "request/AgentAdmission.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace yuccahook::request;
using namespace std::chrono_literals;

namespace {

AdmissionRequest statusQuery(std::uint64_t id)
{
    AdmissionRequest request;
    request.id = id;
    request.method = "GET";
    request.path = "/status";
    request.deadline = 10s;
    request.idempotent = true;
    return request;
}

AdmissionRequest order(std::uint64_t id)
{
    AdmissionRequest request = statusQuery(id);
    request.method = "POST";
    request.path = "/orders";
    request.idempotent = false;
    return request;
}

AdmissionActionKind only(const AdmissionActions& actions)
{
    REQUIRE(actions.size() == 1);
    return actions.front().kind;
}

// Adds samples of 10 ms for status queries and of 1 s for orders.
void addSamples(AgentAdmission& admission)
{
    for (std::uint64_t id = 1'000; id < 1'040; ++id) {
        const bool isOrder = id % 20 == 0;
        admission.submit(isOrder ? order(id) : statusQuery(id), 0ns);
        admission.finish(id, AttemptOutcome::Answered, isOrder ? 1s : 10ms);
    }
}

} // namespace

TEST_CASE("An agent dispatches no more requests than it has slots and queues the rest")
{
    AgentAdmission admission({}, 1);
    CHECK(admission.submit(statusQuery(1), 0ns).front().reason == RequestReason::BackendUnreachable);
    admission.setSlots(2, 0ns);
    CHECK(only(admission.submit(statusQuery(2), 0ns)) == AdmissionActionKind::Dispatch);
    CHECK(only(admission.submit(statusQuery(3), 0ns)) == AdmissionActionKind::Dispatch);
    CHECK(admission.submit(statusQuery(4), 0ns).empty());

    SUBCASE("A released slot goes to the waiting request")
    {
        const auto actions = admission.finish(2, AttemptOutcome::Answered, 10ms);
        REQUIRE(only(actions) == AdmissionActionKind::Dispatch);
        CHECK(actions.front().id == 4);
    }
    SUBCASE("A cancelled attempt keeps its slot until it ends at the backend server")
    {
        CHECK(only(admission.cancel(2, 1ms)) == AdmissionActionKind::Cancel);
        CHECK(only(admission.finish(2, AttemptOutcome::Failed, 2ms)) == AdmissionActionKind::Dispatch);
    }
    SUBCASE("A cancelled request is removed from the queue")
    {
        admission.cancel(4, 1ms);
        CHECK(admission.finish(2, AttemptOutcome::Answered, 10ms).empty());
    }
    SUBCASE("A drain refuses offers at once, and queued and new requests after the grace period")
    {
        CHECK(admission.drain(1ms).empty());
        auto offered = statusQuery(5);
        offered.offered = true;
        CHECK(admission.submit(offered, 1ms).front().reason == RequestReason::Draining);
        CHECK(admission.finish(2, AttemptOutcome::Answered, 2ms).front().id == 4);
        CHECK(admission.submit(statusQuery(6), 3ms).empty());
        REQUIRE(admission.nextDue(3ms) == 2001ms);
        CHECK(admission.advance(2001ms).front().reason == RequestReason::Draining);
        CHECK(admission.submit(statusQuery(7), 2002ms).front().reason == RequestReason::Draining);
        CHECK(admission.finish(3, AttemptOutcome::Answered, 2003ms).empty());
        CHECK(admission.load().running == 1);
    }
    SUBCASE("A drain offers new requests to a peer even when a slot is free")
    {
        admission.setPeers({ 7 });
        admission.drain(1ms);
        admission.finish(2, AttemptOutcome::Answered, 2ms);
        admission.finish(3, AttemptOutcome::Answered, 2ms);
        CHECK(only(admission.submit(order(5), 3ms)) == AdmissionActionKind::Offer);
        CHECK(only(admission.handleOfferReply(5, false, 4ms)) == AdmissionActionKind::Dispatch);
    }
}

TEST_CASE("A request that cannot meet its deadline is refused as not run")
{
    AgentAdmission admission({}, 1);
    admission.setSlots(1, 0ns);
    addSamples(admission);
    admission.submit(order(1), 0ns);

    SUBCASE("It is refused at once when its expected service time exceeds the deadline")
    {
        auto late = order(2);
        late.deadline = 100ms;
        const auto actions = admission.submit(late, 0ns);
        REQUIRE(only(actions) == AdmissionActionKind::Refuse);
        CHECK(actions.front().reason == RequestReason::DeadlineUnmeetable);
        CHECK(actions.front().retryAfter > 0ns);
    }
    SUBCASE("It is refused in the queue when the remaining time is too short")
    {
        auto query = statusQuery(2);
        query.deadline = 500ms;
        CHECK(admission.submit(query, 0ns).empty());
        CHECK(admission.nextDue(0ns) < 500ms);
        const auto actions = admission.advance(admission.nextDue(0ns));
        REQUIRE(only(actions) == AdmissionActionKind::Refuse);
        CHECK(actions.front().reason == RequestReason::DeadlineInQueue);
    }
    SUBCASE("It is refused when the queue is longer than the maximum wait of the service")
    {
        AdmissionActions actions;
        for (std::uint64_t id = 2; actions.empty(); ++id)
            actions = admission.submit(statusQuery(id), 0ns);
        CHECK(actions.front().reason == RequestReason::QueueFull);
    }
}

TEST_CASE("Long requests leave the reserved slot to short requests")
{
    AgentAdmission admission({}, 1);
    admission.setSlots(2, 0ns);
    addSamples(admission);
    CHECK(only(admission.submit(order(1), 0ns)) == AdmissionActionKind::Dispatch);
    CHECK(admission.submit(order(2), 0ns).empty());
    CHECK(only(admission.submit(statusQuery(3), 0ns)) == AdmissionActionKind::Dispatch);

    SUBCASE("A straggler counts as long once it has run for long")
    {
        admission.finish(1, AttemptOutcome::Answered, 1s);
        admission.finish(2, AttemptOutcome::Answered, 2s);
        CHECK(admission.load().running == 1);
        CHECK(admission.submit(order(4), 3s).empty());
        CHECK(only(admission.submit(statusQuery(5), 3s)) == AdmissionActionKind::Dispatch);
    }
}

TEST_CASE("A full agent offers a request to one peer before it queues or refuses it")
{
    AgentAdmission admission({}, 1);
    admission.setPeers({ 7 });
    admission.setSlots(1, 0ns);
    admission.submit(statusQuery(1), 0ns);
    const auto offer = admission.submit(order(2), 0ns);
    REQUIRE(only(offer) == AdmissionActionKind::Offer);
    CHECK(offer.front().peer == 7);

    SUBCASE("A request that the peer accepts is not dispatched here")
    {
        CHECK(admission.handleOfferReply(2, true, 1ms).empty());
        CHECK(admission.finish(1, AttemptOutcome::Answered, 2ms).empty());
    }
    SUBCASE("A request that the peer declines is queued here")
    {
        CHECK(admission.handleOfferReply(2, false, 1ms).empty());
        CHECK(admission.finish(1, AttemptOutcome::Answered, 2ms).front().id == 2);
    }
    SUBCASE("An offered request is never offered to another peer")
    {
        auto offered = order(3);
        offered.offered = true;
        CHECK(admission.submit(offered, 0ns).front().reason == RequestReason::ConcurrencyLimit);
    }
    SUBCASE("A peer with a queue gets no offer")
    {
        admission.updatePeerLoad(7, { 3, 0, 4, 3 }, 0ns);
        CHECK(admission.submit(order(3), 0ns).empty());
    }
}

TEST_CASE("Only requests that did not run or are idempotent are retried, within the retry budget")
{
    AdmissionSettings settings;
    settings.retryBurst = 1;
    settings.retryPercent = 0;
    AgentAdmission admission(settings, 1);
    admission.setPeers({ 7 });
    admission.setSlots(4, 0ns);

    SUBCASE("A failed non-idempotent request ends as unknown")
    {
        admission.submit(order(1), 0ns);
        CHECK(only(admission.finish(1, AttemptOutcome::Failed, 1ms)) == AdmissionActionKind::Fail);
    }
    SUBCASE("A non-idempotent request that is known not to have run is offered to a peer")
    {
        admission.submit(order(1), 0ns);
        CHECK(only(admission.finish(1, AttemptOutcome::NotRun, 1ms)) == AdmissionActionKind::Offer);
        CHECK(only(admission.handleOfferReply(1, false, 2ms)) == AdmissionActionKind::Refuse);
    }
    SUBCASE("A failed idempotent request whose retry is declined is not reported as not run")
    {
        admission.submit(statusQuery(1), 0ns);
        const auto retry = admission.finish(1, AttemptOutcome::Failed, 1ms);
        REQUIRE(only(retry) == AdmissionActionKind::Offer);
        CHECK(retry.front().mayHaveRun);
        CHECK(only(admission.handleOfferReply(1, false, 2ms)) == AdmissionActionKind::Fail);
    }
    SUBCASE("There are no retries once the budget is spent")
    {
        admission.submit(statusQuery(1), 0ns);
        admission.finish(1, AttemptOutcome::NotRun, 1ms);
        admission.submit(statusQuery(2), 2ms);
        CHECK(admission.finish(2, AttemptOutcome::NotRun, 3ms).front().reason == RequestReason::RetryBudgetSpent);
    }
}

TEST_CASE("A slow idempotent request is hedged once and cancelled at its deadline")
{
    AdmissionSettings settings;
    settings.hedges = true;
    AgentAdmission admission(settings, 1);
    admission.setPeers({ 7 });
    admission.setSlots(2, 0ns);
    addSamples(admission);
    admission.submit(statusQuery(1), 2s);
    admission.submit(order(2), 2s);
    const auto due = admission.nextDue(2s);
    CHECK(due < 3s);
    const auto hedge = admission.advance(due);
    REQUIRE(only(hedge) == AdmissionActionKind::Hedge);
    CHECK(hedge.front().id == 1);
    CHECK(admission.advance(5s).empty());
    const auto cancel = admission.advance(10s);
    REQUIRE(only(cancel) == AdmissionActionKind::Cancel);
    CHECK(cancel.front().id == 1);
}

TEST_CASE("Slots open one by one after a cold start")
{
    AdmissionSettings settings;
    settings.slowStart = 3s;
    AgentAdmission admission(settings, 1);
    admission.setSlots(4, 0ns);
    for (std::uint64_t id = 1; id <= 4; ++id)
        admission.submit(order(id), 0ns);
    CHECK(admission.load().running == 1);
    CHECK(admission.nextDue(0ns) == 1s);
    admission.advance(1s);
    CHECK(admission.load().running == 2);
    admission.advance(3s);
    CHECK(admission.load().running == 4);
}

TEST_CASE("A higher priority displaces a lower one from a full queue, but leaves it its minimum share")
{
    AdmissionSettings settings;
    settings.learnLimit = false;
    AgentAdmission admission(settings, 1);
    admission.setSlots(1, 0ns);
    admission.submit(order(1), 0ns);
    std::uint64_t id = 2;
    auto low = statusQuery(id);
    low.priority = 3;
    while (admission.submit(low, 0ns).empty())
        low.id = ++id;
    std::set<std::uint64_t> displaced;
    for (int count = 0; count < 30; ++count) {
        for (const auto& action : admission.submit(order(++id), 0ns)) {
            if (action.reason == RequestReason::LowPriority)
                displaced.insert(action.id);
        }
    }
    CHECK(displaced.size() >= 5);
    std::map<std::uint64_t, bool> dispatchedLow;
    for (std::uint64_t running = 1; admission.load().running > 0;) {
        const auto actions = admission.finish(running, AttemptOutcome::Answered, 1s);
        if (actions.empty())
            break;
        running = actions.front().id;
        dispatchedLow[running] = running <= low.id && running > 1;
    }
    CHECK(std::any_of(dispatchedLow.begin(), dispatchedLow.end(), [](const auto& entry) { return entry.second; }));
}

namespace {

/// Sends random events to one agent and checks the invariants after each event.
class RandomRun {
public:
    explicit RandomRun(Discipline discipline, std::uint32_t slots)
        : m_slots(slots)
        , m_admission(settingsOf(discipline), 5)
    {
        m_admission.setPeers({ 7, 8 });
        m_admission.setSlots(slots, m_now);
    }

    void step()
    {
        m_now += AdmissionTime(*rc::gen::inRange(0, 20'000'000));
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
            arrive();
            break;
        case 2:
        case 3:
            finishOne();
            break;
        case 4:
            answerOffer();
            break;
        default:
            apply(m_admission.advance(m_now));
            break;
        }
    }

    void finishAll()
    {
        while (!m_offers.empty())
            answerOffer();
        while (!m_running.empty())
            finishOne();
        m_now += 1h;
        apply(m_admission.advance(m_now));
        while (!m_running.empty() || !m_offers.empty()) {
            if (m_running.empty())
                answerOffer();
            else
                finishOne();
        }
        for (const auto& [id, ends] : m_ends)
            RC_ASSERT(ends == 1);
    }

private:
    static AdmissionSettings settingsOf(Discipline discipline)
    {
        AdmissionSettings settings;
        settings.discipline = discipline;
        settings.maximumWait = 200ms;
        return settings;
    }

    void arrive()
    {
        auto request = *rc::gen::arbitrary<bool>() ? order(++m_last) : statusQuery(++m_last);
        request.deadline = m_now + AdmissionTime(*rc::gen::inRange(0, 1'000'000'000));
        request.priority = *rc::gen::inRange<std::uint8_t>(0, 3);
        m_ends[request.id] = 0;
        apply(m_admission.submit(request, m_now));
    }

    void finishOne()
    {
        if (m_running.empty())
            return;
        const auto id = *m_running.begin();
        m_running.erase(id);
        const auto outcome = static_cast<AttemptOutcome>(*rc::gen::inRange(0, 3));
        if (outcome == AttemptOutcome::Answered)
            ++m_ends[id];
        if (outcome != AttemptOutcome::NotRun)
            m_mayHaveRun.insert(id);
        apply(m_admission.finish(id, outcome, m_now));
    }

    void answerOffer()
    {
        if (m_offers.empty())
            return;
        const auto id = *m_offers.begin();
        m_offers.erase(id);
        const bool taken = *rc::gen::arbitrary<bool>();
        m_ends[id] += taken ? 1 : 0;
        apply(m_admission.handleOfferReply(id, taken, m_now));
    }

    void apply(const AdmissionActions& actions)
    {
        for (const auto& action : actions) {
            if (action.kind == AdmissionActionKind::Dispatch)
                RC_ASSERT(m_running.insert(action.id).second);
            else if (action.kind == AdmissionActionKind::Offer)
                RC_ASSERT(m_offers.insert(action.id).second);
            else if (action.kind == AdmissionActionKind::Cancel)
                endCancelled(action.id);
            else
                end(action);
        }
        RC_ASSERT(m_running.size() <= m_slots);
    }

    void end(const AdmissionAction& action)
    {
        ++m_ends[action.id];
        if (action.kind == AdmissionActionKind::Refuse)
            RC_ASSERT(!m_mayHaveRun.contains(action.id));
    }

    void endCancelled(std::uint64_t id)
    {
        ++m_ends[id];
        m_running.erase(id);
        apply(m_admission.finish(id, AttemptOutcome::Failed, m_now));
    }

    const std::uint32_t m_slots;
    AgentAdmission m_admission;
    AdmissionTime m_now {};
    std::uint64_t m_last = 0;
    std::set<std::uint64_t> m_running;
    std::set<std::uint64_t> m_offers;
    std::set<std::uint64_t> m_mayHaveRun;
    std::map<std::uint64_t, int> m_ends;
};

} // namespace

TEST_CASE("Random events never exceed the slots, and each request ends once, never as not run if it may have run")
{
    CHECK(rc::check("random events", [] {
        RandomRun run(static_cast<Discipline>(*rc::gen::inRange(0, 4)), *rc::gen::inRange(1U, 8U));
        for (int count = 0; count < 150; ++count)
            run.step();
        run.finishAll();
    }));
}
