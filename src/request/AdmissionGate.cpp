#include "request/AdmissionGate.h"

#include <kj/debug.h>
#include <utility>

namespace yuccahook::request {

namespace {

AttemptOutcome outcomeOf(DispatchResult result)
{
    switch (result) {
    case DispatchResult::Answered:
        return AttemptOutcome::Answered;
    case DispatchResult::Shed:
        return AttemptOutcome::NotRun;
    case DispatchResult::Failed:
    case DispatchResult::Cancelled:
        break;
    }
    return AttemptOutcome::Failed;
}

} // namespace

/// A slot of this agent's own backend server.
class AdmissionGate::LocalSlot final : public Slot {
public:
    LocalSlot(std::shared_ptr<AdmissionGate*> gate, const AdmissionRequest& request)
        : m_gate(std::move(gate))
        , m_request(request)
    {
    }

    ~LocalSlot() noexcept(false) override { finish(DispatchResult::Cancelled); }

    void finish(DispatchResult result) override
    {
        if (!std::exchange(m_ended, true) && *m_gate)
            (*m_gate)->finish(m_request.id, result);
    }

    kj::Promise<AdmissionResult> retry(DispatchResult result) override
    {
        if (std::exchange(m_ended, true) || !*m_gate)
            return AdmissionResult { {}, RequestReason::CallerGone, {} };
        return (*m_gate)->retry(m_request, result);
    }

private:
    const std::shared_ptr<AdmissionGate*> m_gate;
    const AdmissionRequest m_request;
    bool m_ended = false;
};

AdmissionGate::AdmissionGate(
    kj::Timer& timer, OfferTransport& transport, observe::Counters& counters, std::uint64_t seed)
    : m_timer(timer)
    , m_transport(transport)
    , m_counters(counters)
    , m_admission({}, seed)
    , m_self(std::make_shared<AdmissionGate*>(this))
    , m_tasks(*this)
{
}

AdmissionGate::~AdmissionGate() noexcept(false) { *m_self = nullptr; }

void AdmissionGate::setSettings(const AdmissionSettings& settings)
{
    if (settings == m_settings)
        return;
    m_settings = settings;
    apply(m_admission.configure(settings, now()));
}

void AdmissionGate::setSlots(std::uint32_t slots) { apply(m_admission.setSlots(slots, now())); }

void AdmissionGate::drain() { apply(m_admission.drain(now())); }

AdmissionTime AdmissionGate::now() const
{
    return AdmissionTime((m_timer.now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
}

kj::Promise<AdmissionResult> AdmissionGate::admit(const RequestInfo& request)
{
    const auto priority = m_settings.priorityOf(request.method, request.path);
    const AdmissionRequest described { ++m_lastId, request.method, request.path, request.deadline, priority,
        request.idempotent, false, false };
    auto admission = addPending(described);
    apply(m_admission.submit(described, now()));
    return admission;
}

AdmissionResult AdmissionGate::handleOffer(const AdmissionRequest& request, std::uint32_t peer, SlotLoad peerLoad)
{
    m_admission.updatePeerLoad(peer, peerLoad, now());
    AdmissionRequest offered = request;
    offered.id = ++m_lastId;
    offered.offered = true;
    offered.priority = m_settings.priorityOf(request.method, request.path);
    const auto actions = m_admission.submit(offered, now());
    schedule();
    updateCounters();
    const auto& action = actions.front(); // an offer is dispatched or refused immediately, never queued
    const bool taken = action.kind == AdmissionActionKind::Dispatch;
    m_counters.counter("requests_offers_received_total", "result", taken ? "taken" : "declined") += 1;
    if (taken)
        return { kj::heap<LocalSlot>(m_self, offered), RequestReason::None, {} };
    return { {}, action.reason, std::chrono::ceil<std::chrono::milliseconds>(action.retryAfter) };
}

// Dropping the promise removes the request from the queue.
kj::Promise<AdmissionResult> AdmissionGate::addPending(const AdmissionRequest& request)
{
    auto paf = kj::newPromiseAndFulfiller<AdmissionResult>();
    m_pending[request.id] = { request, kj::mv(paf.fulfiller) };
    return paf.promise.attach(kj::defer([self = m_self, id = request.id] {
        if (*self)
            (*self)->abandon(id);
    }));
}

void AdmissionGate::apply(const AdmissionActions& actions)
{
    for (const auto& action : actions) {
        const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(action.retryAfter);
        switch (action.kind) {
        case AdmissionActionKind::Dispatch:
            if (const auto found = m_pending.find(action.id); found != m_pending.end())
                resolve(action.id, { kj::heap<LocalSlot>(m_self, found->second.request), RequestReason::None, {} });
            break;
        case AdmissionActionKind::Refuse:
        case AdmissionActionKind::Fail:
            resolve(action.id, { {}, action.reason, retryAfter });
            break;
        case AdmissionActionKind::Offer:
            sendOffer(action);
            break;
        case AdmissionActionKind::Hedge: // release notes cannot enable hedges, so none arrive here
        case AdmissionActionKind::Cancel: // the HTTP front end enforces the deadline of an attempt itself
            break;
        }
    }
    schedule();
    updateCounters();
}

void AdmissionGate::resolve(std::uint64_t id, AdmissionResult admission)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    auto fulfiller = kj::mv(found->second.fulfiller);
    m_pending.erase(found);
    fulfiller->fulfill(kj::mv(admission));
}

void AdmissionGate::sendOffer(const AdmissionAction& action)
{
    const auto found = m_pending.find(action.id);
    if (found == m_pending.end())
        return;
    AdmissionRequest request = found->second.request;
    request.mayHaveRun = action.mayHaveRun;
    const auto id = action.id;
    const auto peer = action.peer;
    m_tasks.add(m_transport.offer(peer, request, load())
                    .then([this, id, peer](OfferReply&& reply) { handleOfferReply(id, peer, kj::mv(reply)); },
                        [this, id](kj::Exception&&) {
                            m_counters.counter("requests_offers_total", "result", "unreachable") += 1;
                            apply(m_admission.handleOfferReply(id, false, now()));
                        }));
}

void AdmissionGate::handleOfferReply(std::uint64_t id, std::uint32_t peer, OfferReply reply)
{
    const bool taken = reply.slot.get() != nullptr;
    m_counters.counter("requests_offers_total", "result", taken ? "taken" : "declined") += 1;
    m_admission.updatePeerLoad(peer, reply.load, now());
    auto actions = m_admission.handleOfferReply(id, taken, now());
    if (taken) // releases the slot if the request is no longer pending
        resolve(id, { kj::mv(reply.slot), RequestReason::None, {} });
    apply(actions);
}

void AdmissionGate::abandon(std::uint64_t id)
{
    if (m_pending.erase(id) > 0)
        apply(m_admission.cancel(id, now()));
}

void AdmissionGate::finish(std::uint64_t id, DispatchResult result)
{
    if (result != DispatchResult::Answered)
        apply(m_admission.cancel(id, now())); // without a call of retry there is no other attempt
    apply(m_admission.finish(id, outcomeOf(result), now()));
}

kj::Promise<AdmissionResult> AdmissionGate::retry(const AdmissionRequest& request, DispatchResult result)
{
    auto admission = addPending(request);
    const bool notRun = result == DispatchResult::Shed;
    const auto reason = notRun ? RequestReason::RetriedNotRun : RequestReason::RetriedIdempotent;
    const auto actions = m_admission.finish(request.id, outcomeOf(result), now());
    for (const auto& action : actions) {
        if (action.id == request.id && action.kind == AdmissionActionKind::Offer)
            m_counters.counter("requests_retried_total", "reason", kernel::nameOf(reason)) += 1;
    }
    apply(actions);
    return admission;
}

void AdmissionGate::schedule()
{
    const AdmissionTime due = m_admission.nextDue(now());
    if (due >= m_due)
        return;
    m_due = due;
    const auto delay = std::max<std::int64_t>(0, (due - now()).count()) * kj::NANOSECONDS;
    m_tasks.add(m_timer.afterDelay(delay).then([this, due] {
        if (m_due != due)
            return; // superseded by an earlier wake-up
        m_due = AdmissionTime::max();
        apply(m_admission.advance(now()));
    }));
}

void AdmissionGate::updateCounters()
{
    const auto current = load();
    m_counters.counter("requests_running") = current.running;
    m_counters.counter("requests_waiting") = current.waiting;
    m_counters.counter("requests_slots") = current.slots;
}

void AdmissionGate::taskFailed(kj::Exception&& exception) { KJ_LOG(ERROR, exception); }

} // namespace yuccahook::request
