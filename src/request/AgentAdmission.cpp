#include "request/AgentAdmission.h"

#include <algorithm>

namespace yuccahook::request {

namespace {

constexpr std::uint8_t maximumAttempts = 2;
constexpr AdmissionTime drainGrace = std::chrono::seconds(2);

} // namespace

AgentAdmission::AgentAdmission(const AdmissionSettings& settings, std::uint64_t seed)
    : m_settings(settings)
    , m_estimate(settings.priorServiceTime)
    , m_limit(settings.slowStart, settings.learnLimit)
    , m_retries(settings.retryPercent / 100.0, settings.retryBurst)
    , m_peers(seed)
    , m_queue(settings)
{
}

AdmissionActions AgentAdmission::configure(const AdmissionSettings& settings, AdmissionTime now)
{
    AdmissionActions actions;
    m_settings = settings;
    m_limit.configure(settings.slowStart, settings.learnLimit);
    m_retries = RetryBudget(settings.retryPercent / 100.0, settings.retryBurst);
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
    Waiting waiting { request, ServiceTimeEstimate::classOf(request.method, request.path), now };
    waiting.expected = m_estimate.expected(waiting.requestClass);
    waiting.isLong = isLong(waiting.expected);
    m_retries.earn();
    const bool available = !m_refuseFrom && m_limit.slots() > 0;
    if (available && now + waiting.expected <= request.deadline && m_queue.mayStartNow(waiting, use(now))) {
        dispatch(std::move(waiting), now, actions);
        return actions;
    }
    if (request.offered)
        refuse(waiting, m_refuseFrom ? RequestReason::Draining : RequestReason::ConcurrencyLimit, now, actions);
    else if (now + waiting.expected > request.deadline)
        refuse(waiting, RequestReason::DeadlineUnmeetable, now, actions);
    else if (!offer(waiting, now, actions))
        enqueue(std::move(waiting), now, actions);
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
    m_queue.attained(attempt.waiting.requestClass, duration);
    if (outcome == AttemptOutcome::Answered && !attempt.cancelled) {
        m_limit.observe(duration, attempt.waiting.expected, running);
        m_estimate.observe(attempt.waiting.requestClass, duration);
    } else if (outcome == AttemptOutcome::NotRun) {
        m_limit.shed(running);
    }
    if (outcome != AttemptOutcome::Answered && !attempt.cancelled)
        retry(std::move(attempt.waiting), outcome, now, actions);
    dispatchWaiting(now, actions);
    return actions;
}

AdmissionActions AgentAdmission::handleOfferReply(std::uint64_t id, bool taken, AdmissionTime now)
{
    AdmissionActions actions;
    const auto found = m_offered.find(id);
    if (found == m_offered.end())
        return actions;
    Offered offered = std::move(found->second);
    m_offered.erase(found);
    if (taken)
        return actions;
    if (!offered.afterFailure)
        enqueue(std::move(offered.waiting), now, actions);
    else if (*offered.afterFailure == AttemptOutcome::NotRun)
        refuse(offered.waiting, RequestReason::ShedByBackend, now, actions);
    else
        refuse(offered.waiting, RequestReason::ConcurrencyLimit, now, actions);
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
    if (!m_refuseFrom)
        m_refuseFrom = now + drainGrace;
    return {};
}

AdmissionActions AgentAdmission::advance(AdmissionTime now)
{
    AdmissionActions actions;
    std::vector<Waiting> late;
    for (const auto& waiting : m_queue.waiting()) {
        if (isClosed(now) || now + waiting.expected > waiting.request.deadline)
            late.push_back(waiting);
    }
    for (const auto& waiting : late) {
        m_queue.erase(waiting.request.id);
        refuse(waiting, isClosed(now) ? RequestReason::Draining : RequestReason::DeadlineInQueue, now, actions);
    }
    for (auto& [id, attempt] : m_running)
        hedgeOrCancel(attempt, now, actions);
    dispatchWaiting(now, actions);
    return actions;
}

AdmissionTime AgentAdmission::nextDue(AdmissionTime now) const
{
    AdmissionTime due = m_queue.size() > 0 ? m_limit.nextOpening(now) : AdmissionTime::max();
    if (m_queue.size() > 0 && m_refuseFrom)
        due = std::min(due, *m_refuseFrom);
    for (const auto& waiting : m_queue.waiting())
        due = std::min(due, waiting.request.deadline - waiting.expected + AdmissionTime(1));
    for (const auto& [id, attempt] : m_running) {
        if (attempt.cancelled || !attempt.waiting.request.idempotent)
            continue;
        due = std::min(due, attempt.waiting.request.deadline);
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
        load.runningLong += attempt.waiting.isLong ? 1 : 0;
    return load;
}

SlotUse AgentAdmission::use(AdmissionTime now) const
{
    SlotUse use { m_limit.at(now), static_cast<std::uint32_t>(m_running.size()), 0 };
    for (const auto& [id, attempt] : m_running)
        use.runningLong += attempt.waiting.isLong || isLong(now - attempt.started) ? 1 : 0;
    return use;
}

bool AgentAdmission::isLong(AdmissionTime duration) const
{
    return static_cast<double>(duration.count())
        > m_settings.longFactor * static_cast<double>(m_estimate.median().count());
}

AdmissionTime AgentAdmission::expectedWait(const Waiting& newcomer, AdmissionTime now) const
{
    return m_queue.expectedWait(newcomer, m_limit.at(now));
}

RequestReason AgentAdmission::reasonToRefuse(const Waiting& waiting, AdmissionTime now) const
{
    if (isClosed(now))
        return RequestReason::Draining;
    if (m_limit.slots() == 0)
        return RequestReason::BackendUnreachable;
    const AdmissionTime wait = expectedWait(waiting, now);
    if (now + wait + waiting.expected > waiting.request.deadline)
        return RequestReason::DeadlineUnmeetable;
    if (wait > m_settings.maximumWait)
        return RequestReason::QueueFull;
    return RequestReason::None;
}

// A queue that is full only because of lower priorities gives their places up.
void AgentAdmission::makeRoom(const Waiting& waiting, AdmissionTime now, AdmissionActions& actions)
{
    const AdmissionTime bound = m_settings.maximumWait * std::max<std::uint32_t>(1, m_limit.at(now));
    const AdmissionTime kept = bound * m_settings.minimumSharePercent / 100;
    while (m_queue.work() > bound) {
        const auto displaced = m_queue.popBelow(waiting.request.priority, kept);
        if (!displaced)
            return;
        refuse(*displaced, RequestReason::LowPriority, now, actions);
    }
}

void AgentAdmission::enqueue(Waiting waiting, AdmissionTime now, AdmissionActions& actions)
{
    if (const auto reason = reasonToRefuse(waiting, now); reason != RequestReason::None) {
        refuse(waiting, reason, now, actions);
        return;
    }
    makeRoom(waiting, now, actions);
    m_queue.push(std::move(waiting));
    dispatchWaiting(now, actions);
}

bool AgentAdmission::offer(Waiting& waiting, AdmissionTime now, AdmissionActions& actions)
{
    if (!m_settings.offers || waiting.request.offered || waiting.peerAsked)
        return false;
    const auto peer = m_peers.choose(now);
    if (!peer)
        return false;
    waiting.peerAsked = true;
    actions.push_back(
        { AdmissionActionKind::Offer, waiting.request.id, RequestReason::None, *peer, {}, waiting.request.mayHaveRun });
    m_offered[waiting.request.id].waiting = std::move(waiting);
    return true;
}

void AgentAdmission::dispatch(Waiting waiting, AdmissionTime now, AdmissionActions& actions)
{
    const auto id = waiting.request.id;
    ++waiting.attempts;
    m_running[id] = { std::move(waiting), now };
    actions.push_back({ AdmissionActionKind::Dispatch, id });
}

void AgentAdmission::dispatchWaiting(AdmissionTime now, AdmissionActions& actions)
{
    if (isClosed(now))
        return;
    while (m_queue.size() > 0) {
        auto waiting = m_queue.pop(use(now), now);
        if (!waiting)
            return;
        if (now + waiting->expected > waiting->request.deadline)
            refuse(*waiting, RequestReason::DeadlineInQueue, now, actions);
        else
            dispatch(std::move(*waiting), now, actions);
    }
}

void AgentAdmission::retry(Waiting waiting, AttemptOutcome outcome, AdmissionTime now, AdmissionActions& actions)
{
    const auto id = waiting.request.id;
    const bool notRun = outcome == AttemptOutcome::NotRun;
    waiting.request.mayHaveRun |= !notRun;
    auto reason = notRun ? RequestReason::ShedByBackend : RequestReason::BackendLost;
    const bool mayRepeat = (notRun || waiting.request.idempotent) && !waiting.request.offered;
    if (mayRepeat && waiting.attempts < maximumAttempts) {
        waiting.peerAsked = false;
        if (!m_retries.take()) {
            reason = RequestReason::RetryBudgetSpent;
        } else if (offer(waiting, now, actions)) {
            m_offered[id].afterFailure = outcome;
            return;
        } else if (notRun) {
            enqueue(std::move(waiting), now, actions);
            return;
        }
    }
    refuse(waiting, reason, now, actions);
}

void AgentAdmission::refuse(
    const Waiting& waiting, RequestReason reason, AdmissionTime now, AdmissionActions& actions) const
{
    const AdmissionTime retryAfter = std::max<AdmissionTime>(m_settings.maximumWait, expectedWait(waiting, now));
    const auto kind = waiting.request.mayHaveRun ? AdmissionActionKind::Fail : AdmissionActionKind::Refuse;
    actions.push_back({ kind, waiting.request.id, reason, 0, retryAfter });
}

void AgentAdmission::hedgeOrCancel(Attempt& attempt, AdmissionTime now, AdmissionActions& actions)
{
    const auto& request = attempt.waiting.request;
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
    if (const auto peer = m_peers.choose(now); peer && m_retries.take())
        actions.push_back({ AdmissionActionKind::Hedge, request.id, RequestReason::None, *peer, {}, true });
}

AdmissionTime AgentAdmission::hedgeDue(const Attempt& attempt) const
{
    if (!m_settings.hedges || attempt.waiting.request.offered)
        return AdmissionTime::max();
    return attempt.started + 2 * m_estimate.slow(attempt.waiting.requestClass);
}

} // namespace yuccahook::request
