#include "request/AgentAdmission.h"

#include <algorithm>

namespace yuccahook::request {

namespace {

constexpr std::uint8_t maximumAttempts = 2;
constexpr AdmissionTime drainGracePeriod = std::chrono::seconds(2);

} // namespace

AgentAdmission::AgentAdmission(const AdmissionSettings& settings, std::uint64_t seed)
    : m_settings(settings)
    , m_estimate(settings.priorServiceTime)
    , m_limit(settings.slowStart, settings.learnLimit)
    , m_retryBudget(settings.retryPercent / 100.0, settings.retryBurst)
    , m_peerSelector(seed)
    , m_queue(settings)
{
}

AdmissionActions AgentAdmission::configure(const AdmissionSettings& settings, AdmissionTime now)
{
    AdmissionActions actions;
    m_settings = settings;
    m_limit.configure(settings.slowStart, settings.learnLimit);
    m_retryBudget = RetryBudget(settings.retryPercent / 100.0, settings.retryBurst);
    m_queue.configure(settings);
    dispatchWaiting(now, actions);
    return actions;
}

AdmissionActions AgentAdmission::setSlots(std::uint32_t slots, AdmissionTime now)
{
    AdmissionActions actions;
    m_limit.setSlots(slots, now);
    dispatchWaiting(now, actions);
    return actions;
}

AdmissionActions AgentAdmission::submit(const AdmissionRequest& request, AdmissionTime now)
{
    AdmissionActions actions;
    QueuedRequest queued { request, ServiceTimeEstimate::classOf(request.method, request.path), now };
    queued.expected = m_estimate.expected(queued.requestClass);
    queued.isLong = isLong(queued.expected);
    m_retryBudget.earn();
    const bool available = !m_drainGraceEnd && m_limit.slots() > 0;
    if (available && now + queued.expected <= request.deadline && m_queue.mayStartNow(queued, usage(now))) {
        dispatch(std::move(queued), now, actions);
        return actions;
    }
    if (request.offered)
        refuse(queued, m_drainGraceEnd ? RequestReason::Draining : RequestReason::ConcurrencyLimit, now, actions);
    else if (now + queued.expected > request.deadline)
        refuse(queued, RequestReason::DeadlineUnmeetable, now, actions);
    else if (!offer(queued, now, actions))
        enqueue(std::move(queued), now, actions);
    return actions;
}

AdmissionActions AgentAdmission::finish(std::uint64_t id, AttemptOutcome outcome, AdmissionTime now)
{
    AdmissionActions actions;
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return actions;
    Attempt attempt = std::move(found->second);
    const auto running = static_cast<std::uint32_t>(m_running.size());
    m_running.erase(found);
    const AdmissionTime duration = now - attempt.started;
    m_queue.recordSlotTime(attempt.queued.requestClass, duration);
    if (outcome == AttemptOutcome::Answered && !attempt.cancelled) {
        m_limit.observe(duration, attempt.queued.expected, running);
        m_estimate.observe(attempt.queued.requestClass, duration);
    } else if (outcome == AttemptOutcome::NotRun) {
        m_limit.observeShed(running);
    }
    if (outcome != AttemptOutcome::Answered && !attempt.cancelled)
        retry(std::move(attempt.queued), outcome, now, actions);
    dispatchWaiting(now, actions);
    return actions;
}

AdmissionActions AgentAdmission::handleOfferReply(std::uint64_t id, bool taken, AdmissionTime now)
{
    AdmissionActions actions;
    const auto found = m_offered.find(id);
    if (found == m_offered.end())
        return actions;
    OfferedRequest offered = std::move(found->second);
    m_offered.erase(found);
    if (taken)
        return actions;
    if (!offered.failedOutcome)
        enqueue(std::move(offered.queued), now, actions);
    else if (*offered.failedOutcome == AttemptOutcome::NotRun)
        refuse(offered.queued, RequestReason::ShedByBackend, now, actions);
    else
        refuse(offered.queued, RequestReason::ConcurrencyLimit, now, actions);
    return actions;
}

AdmissionActions AgentAdmission::cancel(std::uint64_t id, AdmissionTime now)
{
    AdmissionActions actions;
    m_offered.erase(id);
    m_queue.erase(id);
    const auto found = m_running.find(id);
    if (found != m_running.end() && !found->second.cancelled) {
        found->second.cancelled = true;
        actions.push_back({ AdmissionActionKind::Cancel, id });
    }
    dispatchWaiting(now, actions);
    return actions;
}

AdmissionActions AgentAdmission::drain(AdmissionTime now)
{
    if (!m_drainGraceEnd)
        m_drainGraceEnd = now + drainGracePeriod;
    return {};
}

AdmissionActions AgentAdmission::advance(AdmissionTime now)
{
    AdmissionActions actions;
    std::vector<QueuedRequest> refused;
    for (const auto& queued : m_queue.waiting()) {
        if (refusesAll(now) || now + queued.expected > queued.request.deadline)
            refused.push_back(queued);
    }
    for (const auto& queued : refused) {
        m_queue.erase(queued.request.id);
        refuse(queued, refusesAll(now) ? RequestReason::Draining : RequestReason::DeadlineInQueue, now, actions);
    }
    for (auto& [id, attempt] : m_running)
        hedgeOrCancel(attempt, now, actions);
    dispatchWaiting(now, actions);
    return actions;
}

AdmissionTime AgentAdmission::nextDue(AdmissionTime now) const
{
    AdmissionTime due = m_queue.size() > 0 ? m_limit.nextOpening(now) : AdmissionTime::max();
    if (m_queue.size() > 0 && m_drainGraceEnd)
        due = std::min(due, *m_drainGraceEnd);
    for (const auto& queued : m_queue.waiting())
        due = std::min(due, queued.request.deadline - queued.expected + AdmissionTime(1));
    for (const auto& [id, attempt] : m_running) {
        if (attempt.cancelled || !attempt.queued.request.idempotent)
            continue;
        due = std::min(due, attempt.queued.request.deadline);
        if (!attempt.hedged)
            due = std::min(due, hedgeDue(attempt));
    }
    return due;
}

SlotLoad AgentAdmission::load() const
{
    SlotLoad load { static_cast<std::uint32_t>(m_running.size()), 0, static_cast<std::uint32_t>(m_queue.size()),
        m_limit.slots() };
    for (const auto& [id, attempt] : m_running)
        load.runningLong += attempt.queued.isLong ? 1 : 0;
    return load;
}

SlotUsage AgentAdmission::usage(AdmissionTime now) const
{
    SlotUsage usage { m_limit.limitAt(now), static_cast<std::uint32_t>(m_running.size()), 0 };
    for (const auto& [id, attempt] : m_running)
        usage.runningLong += attempt.queued.isLong || isLong(now - attempt.started) ? 1 : 0;
    return usage;
}

bool AgentAdmission::isLong(AdmissionTime duration) const
{
    return static_cast<double>(duration.count())
        > m_settings.longFactor * static_cast<double>(m_estimate.median().count());
}

AdmissionTime AgentAdmission::expectedWait(const QueuedRequest& newcomer, AdmissionTime now) const
{
    return m_queue.expectedWait(newcomer, m_limit.limitAt(now));
}

RequestReason AgentAdmission::refusalReason(const QueuedRequest& queued, AdmissionTime now) const
{
    if (refusesAll(now))
        return RequestReason::Draining;
    if (m_limit.slots() == 0)
        return RequestReason::BackendUnreachable;
    const AdmissionTime wait = expectedWait(queued, now);
    if (now + wait + queued.expected > queued.request.deadline)
        return RequestReason::DeadlineUnmeetable;
    if (wait > m_settings.maximumWait)
        return RequestReason::QueueFull;
    return RequestReason::None;
}

// Refuses queued requests of lower priority when the queue is full because of them.
void AgentAdmission::displaceLowerPriorities(const QueuedRequest& queued, AdmissionTime now, AdmissionActions& actions)
{
    const AdmissionTime bound = m_settings.maximumWait * std::max<std::uint32_t>(1, m_limit.limitAt(now));
    const AdmissionTime protectedWork = bound * m_settings.minimumSharePercent / 100;
    while (m_queue.totalWork() > bound) {
        const auto displaced = m_queue.popLowerPriority(queued.request.priority, protectedWork);
        if (!displaced)
            return;
        refuse(*displaced, RequestReason::LowPriority, now, actions);
    }
}

void AgentAdmission::enqueue(QueuedRequest queued, AdmissionTime now, AdmissionActions& actions)
{
    if (const auto reason = refusalReason(queued, now); reason != RequestReason::None) {
        refuse(queued, reason, now, actions);
        return;
    }
    displaceLowerPriorities(queued, now, actions);
    m_queue.push(std::move(queued));
    dispatchWaiting(now, actions);
}

bool AgentAdmission::offer(QueuedRequest& queued, AdmissionTime now, AdmissionActions& actions)
{
    if (!m_settings.offers || queued.request.offered || queued.wasOffered)
        return false;
    const auto peer = m_peerSelector.choose(now);
    if (!peer)
        return false;
    queued.wasOffered = true;
    actions.push_back(
        { AdmissionActionKind::Offer, queued.request.id, RequestReason::None, *peer, {}, queued.request.mayHaveRun });
    m_offered[queued.request.id].queued = std::move(queued);
    return true;
}

void AgentAdmission::dispatch(QueuedRequest queued, AdmissionTime now, AdmissionActions& actions)
{
    const auto id = queued.request.id;
    ++queued.attempts;
    m_running[id] = { std::move(queued), now };
    actions.push_back({ AdmissionActionKind::Dispatch, id });
}

void AgentAdmission::dispatchWaiting(AdmissionTime now, AdmissionActions& actions)
{
    if (refusesAll(now))
        return;
    while (m_queue.size() > 0) {
        auto queued = m_queue.pop(usage(now), now);
        if (!queued)
            return;
        if (now + queued->expected > queued->request.deadline)
            refuse(*queued, RequestReason::DeadlineInQueue, now, actions);
        else
            dispatch(std::move(*queued), now, actions);
    }
}

void AgentAdmission::retry(QueuedRequest queued, AttemptOutcome outcome, AdmissionTime now, AdmissionActions& actions)
{
    const auto id = queued.request.id;
    const bool notRun = outcome == AttemptOutcome::NotRun;
    queued.request.mayHaveRun |= !notRun;
    auto reason = notRun ? RequestReason::ShedByBackend : RequestReason::BackendLost;
    const bool mayRepeat = (notRun || queued.request.idempotent) && !queued.request.offered;
    if (mayRepeat && queued.attempts < maximumAttempts) {
        queued.wasOffered = false;
        if (!m_retryBudget.tryConsume()) {
            reason = RequestReason::RetryBudgetSpent;
        } else if (offer(queued, now, actions)) {
            m_offered[id].failedOutcome = outcome;
            return;
        } else if (notRun) {
            enqueue(std::move(queued), now, actions);
            return;
        }
    }
    refuse(queued, reason, now, actions);
}

void AgentAdmission::refuse(
    const QueuedRequest& queued, RequestReason reason, AdmissionTime now, AdmissionActions& actions) const
{
    const AdmissionTime retryAfter = std::max<AdmissionTime>(m_settings.maximumWait, expectedWait(queued, now));
    const auto kind = queued.request.mayHaveRun ? AdmissionActionKind::Fail : AdmissionActionKind::Refuse;
    actions.push_back({ kind, queued.request.id, reason, 0, retryAfter });
}

void AgentAdmission::hedgeOrCancel(Attempt& attempt, AdmissionTime now, AdmissionActions& actions)
{
    const auto& request = attempt.queued.request;
    if (attempt.cancelled || !request.idempotent)
        return;
    if (now >= request.deadline) {
        attempt.cancelled = true;
        actions.push_back({ AdmissionActionKind::Cancel, request.id });
        return;
    }
    if (attempt.hedged || now < hedgeDue(attempt))
        return;
    attempt.hedged = true;
    if (const auto peer = m_peerSelector.choose(now); peer && m_retryBudget.tryConsume())
        actions.push_back({ AdmissionActionKind::Hedge, request.id, RequestReason::None, *peer, {}, true });
}

AdmissionTime AgentAdmission::hedgeDue(const Attempt& attempt) const
{
    if (!m_settings.hedges || attempt.queued.request.offered)
        return AdmissionTime::max();
    return attempt.started + 2 * m_estimate.percentile95(attempt.queued.requestClass);
}

} // namespace yuccahook::request
