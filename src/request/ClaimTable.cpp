#include "request/ClaimTable.h"

#include <algorithm>

namespace yuccahook::request {

namespace {

constexpr Time acquireTimeout = std::chrono::seconds(2);
constexpr Time acquireRetryInterval = std::chrono::milliseconds(100);
constexpr Time placeTimeout = std::chrono::seconds(1);
constexpr Time placeWidenInterval = std::chrono::milliseconds(200);
constexpr Time collectRetryInterval = std::chrono::milliseconds(200);
constexpr Time sweepInterval = std::chrono::seconds(1);
constexpr Time queryAge = std::chrono::seconds(5);
constexpr std::size_t minimumCopies = 3;
constexpr std::size_t minimumDomains = 2;
constexpr std::size_t maximumPageClaims = 256;
constexpr std::size_t maximumPageBytes = 1 << 20;
constexpr std::size_t maximumRepairs = 256; // placements in progress at once
constexpr std::size_t maximumUnsettledViews = 16;

// Converts the age of a received copy to local time.
Claim localCopy(Claim claim, Time age, Time now)
{
    claim.since = now - age;
    return claim;
}

} // namespace

ClaimTable::ClaimTable(ClaimLimits limits)
    : m_limits(limits)
{
}

const Claim* ClaimTable::find(const std::string& key) const
{
    const auto found = m_claims.find(key);
    return found != m_claims.end() ? &found->second : nullptr;
}

void ClaimTable::setView(const ClaimView& view, Time now)
{
    const bool sameSelf = view.self() == m_view.self();
    const bool sameMembers = view.hash() == m_view.hash() && sameSelf;
    if (!sameSelf || !view.joined())
        m_settledViews.clear(); // other agents were home agents in the meantime
    m_view = view;
    if (sameMembers || !view.joined())
        return;
    m_placements.clear(); // their runners send Acquire again
    m_collecting.clear();
    m_repairCursor.reset();
    if (m_settledViews.size() == maximumUnsettledViews)
        m_settledViews.clear();
    if (!m_settledViews.empty())
        m_settledViews.push_back(view);
    for (const auto& member : view.members()) {
        if (member.id != view.self())
            m_collecting.emplace(member.id, "");
    }
    markLostRuns(now);
    if (m_collecting.empty())
        m_settledViews = { view };
    requestCollection(now);
    dispatchLocal(now);
}

// Marks running claims whose runner has left as unknown. They are kept so that the request does not run twice; the
// runner may still report the outcome.
void ClaimTable::markLostRuns(Time now)
{
    for (auto& [key, claim] : m_claims) {
        if (claim.state != ClaimState::Running || m_view.contains(claim.runner))
            continue;
        claim.state = ClaimState::Unknown;
        claim.since = now;
    }
}

std::uint64_t ClaimTable::acquire(const std::string& key, const RequestDigest& digest, Time now)
{
    const std::uint64_t attempt = ++m_lastAttempt;
    Pending& pending = m_pending[attempt];
    pending.key = key;
    pending.digest = digest;
    pending.began = now;
    sendAcquire(attempt, pending, now);
    dispatchLocal(now);
    return attempt;
}

void ClaimTable::sendAcquire(std::uint64_t attempt, Pending& pending, Time now)
{
    pending.sent = now;
    if (!m_view.joined())
        return;
    ClaimMessage message;
    message.kind = ClaimMessageKind::Acquire;
    message.claim.key = pending.key;
    message.claim.digest = pending.digest;
    message.claim.runner = m_view.self();
    message.claim.attempt = attempt;
    send(m_view.homeOf(pending.key), std::move(message));
}

void ClaimTable::abandon(std::uint64_t attempt)
{
    if (m_pending.contains(attempt))
        endPending(attempt);
}

void ClaimTable::endPending(std::uint64_t attempt)
{
    m_pending.erase(attempt);
    recordNeverRun(attempt);
}

void ClaimTable::recordNeverRun(std::uint64_t attempt)
{
    m_neverRun.insert(attempt);
    if (m_neverRun.size() > m_limits.maximumClaims)
        m_neverRun.erase(m_neverRun.begin()); // a later query for it is reported as unknown
}

void ClaimTable::finish(std::uint64_t attempt, ClaimState state, AnswerPointer answer, Time now)
{
    const auto run = m_runs.find(attempt);
    if (run == m_runs.end())
        return;
    const Run ended = std::move(run->second);
    m_runs.erase(run);
    if (state == ClaimState::NotRun)
        recordNeverRun(attempt);
    const auto found = m_claims.find(ended.key);
    if (found == m_claims.end() || found->second.attempt != attempt || found->second.runner != ended.runner)
        return;
    Claim claim = found->second;
    claim.state = state;
    claim.answer = std::move(answer);
    claim.since = now;
    store(claim);
    std::set<std::uint32_t> holders(ended.holders.begin(), ended.holders.end());
    holders.insert(m_view.homeOf(claim.key));
    for (const std::uint32_t holder : holders) {
        if (holder != m_view.self())
            sendReport(holder, claim, now);
    }
    dispatchLocal(now);
}

void ClaimTable::receive(const ClaimMessage& message, Time now)
{
    dispatch(message, now);
    dispatchLocal(now);
}

void ClaimTable::send(std::uint32_t to, ClaimMessage message)
{
    message.from = m_view.self();
    message.view = m_view.hash();
    message.revision = m_view.revision();
    if (to == m_view.self())
        m_local.push_back(std::move(message));
    else if (m_view.contains(to))
        m_outgoing.push_back({ to, std::move(message) });
}

void ClaimTable::dispatchLocal(Time now)
{
    while (!m_local.empty()) {
        const ClaimMessage message = std::move(m_local.front());
        m_local.pop_front();
        dispatch(message, now);
    }
}

void ClaimTable::dispatch(const ClaimMessage& message, Time now)
{
    using Handler = void (ClaimTable::*)(const ClaimMessage&, Time);
    static constexpr std::array<Handler, 9> handlers { &ClaimTable::onAcquire, &ClaimTable::onGrant,
        &ClaimTable::onDeny, &ClaimTable::onPlace, &ClaimTable::onPlaced, &ClaimTable::onReport, &ClaimTable::onQuery,
        &ClaimTable::onCollect, &ClaimTable::onCollected };
    const auto index = static_cast<std::size_t>(message.kind);
    if (index < handlers.size() && m_view.joined())
        (this->*handlers[index])(message, now);
}

bool ClaimTable::mayGrant(const std::string& key) const
{
    return !m_settledViews.empty()
        && std::all_of(m_settledViews.begin(), m_settledViews.end(),
            [&key](const ClaimView& view) { return view.homeOf(key) == view.self(); });
}

bool ClaimTable::isFull() const
{
    return m_claims.size() >= m_limits.maximumClaims || m_bytes >= m_limits.maximumBytes;
}

void ClaimTable::sendDenial(const ClaimMessage& acquire, RequestReason reason, Time now)
{
    ClaimMessage denial;
    denial.kind = ClaimMessageKind::Deny;
    denial.claim = acquire.claim;
    denial.reason = reason;
    const auto found = m_claims.find(acquire.claim.key);
    if (reason == RequestReason::None && found != m_claims.end()) {
        denial.claim.answer = found->second.answer;
        denial.claim.state = found->second.state;
        denial.age = now - found->second.since;
    }
    send(acquire.from, std::move(denial));
}

void ClaimTable::onAcquire(const ClaimMessage& message, Time now)
{
    const Claim& requested = message.claim;
    if (message.view != m_view.hash() || m_view.homeOf(requested.key) != m_view.self() || !mayGrant(requested.key))
        return sendDenial(message, RequestReason::HandoverPending, now);
    const auto found = m_claims.find(requested.key);
    if (found == m_claims.end())
        return isFull() ? sendDenial(message, RequestReason::ClaimsFull, now) : beginGrant(message, 0, now);
    const Claim& known = found->second;
    if (known.digest != requested.digest)
        return sendDenial(message, RequestReason::KeyReused, now);
    switch (known.state) {
    case ClaimState::Answered:
        return sendDenial(message, RequestReason::None, now);
    case ClaimState::Unknown:
        return sendDenial(message, RequestReason::EarlierRunUnknown, now);
    case ClaimState::NotRun:
        return beginGrant(message, known.generation + 1, now);
    case ClaimState::Running:
        break;
    }
    if (known.runner == message.from && known.attempt == requested.attempt) {
        const auto placement = m_placements.find(requested.key);
        if (placement == m_placements.end())
            beginPlacement(known, true, now);
        else
            placement->second.grantPending = true;
        return;
    }
    const std::pair requester(message.from, requested.attempt);
    if (m_queried[requested.key] == requester)
        return sendDenial(message, RequestReason::StillRunning, now);
    m_queried[requested.key] = requester; // denied when it asks again, after the runner had time to report
    sendQuery(known);
}

void ClaimTable::beginGrant(const ClaimMessage& message, std::uint32_t generation, Time now)
{
    Claim claim = message.claim;
    claim.runner = message.from;
    claim.generation = generation;
    claim.state = ClaimState::Running;
    claim.answer = nullptr;
    claim.since = now;
    store(claim);
    beginPlacement(claim, true, now);
}

std::vector<ClaimMember> ClaimTable::candidatesFor(const Claim& claim) const
{
    auto candidates = m_view.ranked(claim.key);
    std::erase_if(candidates,
        [this, &claim](const ClaimMember& member) { return member.id == m_view.self() || member.id == claim.runner; });
    const ClaimMember* home = m_view.find(m_view.self());
    const ClaimMember* runner = m_view.find(claim.runner);
    if (home && (!runner || runner->domain == home->domain)) {
        std::stable_partition(candidates.begin(), candidates.end(),
            [home](const ClaimMember& member) { return member.domain != home->domain; });
    }
    return candidates;
}

// The number of copies needed besides those of the home agent and the runner.
std::size_t ClaimTable::copiesNeeded(std::uint32_t runner) const
{
    const std::size_t copies = std::min(minimumCopies, m_view.members().size());
    const std::size_t own = runner != m_view.self() && m_view.contains(runner) ? 2 : 1;
    return copies > own ? copies - own : 0;
}

void ClaimTable::beginPlacement(const Claim& claim, bool grantPending, Time now)
{
    CopyPlacement& placement = m_placements[claim.key];
    placement = {};
    placement.runner = claim.runner;
    placement.attempt = claim.attempt;
    placement.grantPending = grantPending;
    placement.began = now;
    placement.candidates = candidatesFor(claim);
    if (hasEnoughCopies(placement))
        return endPlacement(claim.key);
    requestCopies(claim.key, placement, copiesNeeded(claim.runner), now);
}

bool ClaimTable::hasEnoughCopies(const CopyPlacement& placement) const
{
    if (placement.confirmed.size() < copiesNeeded(placement.runner))
        return false;
    std::set<std::string> domains;
    const auto add = [this, &domains](std::uint32_t member) {
        if (const auto* found = m_view.find(member))
            domains.insert(found->domain);
    };
    add(m_view.self());
    add(placement.runner);
    std::for_each(placement.confirmed.begin(), placement.confirmed.end(), add);
    return domains.size() >= std::min(minimumDomains, m_view.domainCount());
}

void ClaimTable::requestCopies(const std::string& key, CopyPlacement& placement, std::size_t count, Time now)
{
    placement.lastRequested = now;
    placement.candidatesAsked = std::min(placement.candidates.size(), std::max(placement.candidatesAsked, count));
    const Claim& claim = m_claims.at(key);
    for (std::size_t index = 0; index < placement.candidatesAsked; ++index) {
        if (placement.confirmed.contains(placement.candidates[index].id))
            continue;
        ClaimMessage message;
        message.kind = ClaimMessageKind::Place;
        message.claim = claim;
        message.age = now - claim.since;
        message.repair = !placement.grantPending;
        send(placement.candidates[index].id, std::move(message));
    }
}

void ClaimTable::onPlace(const ClaimMessage& message, Time now)
{
    const Claim& requested = message.claim;
    if (message.view != m_view.hash() || m_view.homeOf(requested.key) != message.from)
        return;
    const auto found = m_claims.find(requested.key);
    if (found == m_claims.end() && isFull() && !message.repair)
        return; // the home agent asks another member
    onReport(message, now);
    const Claim& stored = m_claims.at(requested.key);
    if (stored.attempt != requested.attempt || stored.runner != requested.runner
        || stored.generation != requested.generation)
        return sendReport(message.from, stored, now);
    ClaimMessage confirmation;
    confirmation.kind = ClaimMessageKind::Placed;
    confirmation.claim = requested;
    send(message.from, std::move(confirmation));
}

void ClaimTable::onPlaced(const ClaimMessage& message, Time)
{
    const std::string key = message.claim.key;
    const auto found = m_placements.find(key);
    if (found == m_placements.end() || message.view != m_view.hash())
        return;
    const Claim& claim = m_claims.at(key);
    if (claim.attempt != message.claim.attempt || claim.runner != message.claim.runner
        || claim.generation != message.claim.generation)
        return;
    found->second.confirmed.insert(message.from);
    if (hasEnoughCopies(found->second))
        endPlacement(key);
}

void ClaimTable::endPlacement(const std::string& key)
{
    const auto placement = m_placements.extract(key);
    const Claim& claim = m_claims.at(key);
    const CopyPlacement& ended = placement.mapped();
    const bool same = claim.runner == ended.runner && claim.attempt == ended.attempt;
    if (claim.state != ClaimState::Running || !ended.grantPending || !same)
        return;
    ClaimMessage message;
    message.kind = ClaimMessageKind::Grant;
    message.claim = claim;
    message.holders.assign(ended.confirmed.begin(), ended.confirmed.end());
    message.holders.push_back(m_view.self());
    send(claim.runner, std::move(message));
}

void ClaimTable::onGrant(const ClaimMessage& message, Time now)
{
    const std::uint64_t attempt = message.claim.attempt;
    if (message.view != m_view.hash() || m_view.homeOf(message.claim.key) != message.from
        || message.claim.runner != m_view.self())
        return;
    const auto pending = m_pending.find(attempt);
    if (pending == m_pending.end())
        return onQuery(message, now); // already decided: reports the state of the attempt to the home agent
    const auto stored = m_claims.find(message.claim.key);
    if (stored == m_claims.end() && isFull()) {
        endPending(attempt);
        decide(attempt, ClaimDecision::Kind::Refused, RequestReason::ClaimsFull);
        return onQuery(message, now);
    }
    Claim claim = message.claim;
    claim.since = now;
    store(claim);
    m_runs[attempt] = { claim.key, claim.runner, message.holders };
    m_pending.erase(pending);
    decide(attempt, ClaimDecision::Kind::Granted, RequestReason::None);
}

void ClaimTable::onDeny(const ClaimMessage& message, Time)
{
    const std::uint64_t attempt = message.claim.attempt;
    const auto pending = m_pending.find(attempt);
    if (pending == m_pending.end() || message.claim.runner != m_view.self())
        return;
    if (message.reason == RequestReason::HandoverPending) {
        pending->second.lastReason = message.reason; // Acquire is repeated until the timeout
        return;
    }
    endPending(attempt);
    const bool mayHaveRun
        = message.reason == RequestReason::StillRunning || message.reason == RequestReason::EarlierRunUnknown;
    if (message.reason == RequestReason::None && message.claim.answer)
        decide(attempt, ClaimDecision::Kind::Repeated, message.reason, message.claim.answer);
    else if (mayHaveRun)
        decide(attempt, ClaimDecision::Kind::Unknown, message.reason);
    else
        decide(attempt, ClaimDecision::Kind::Refused, message.reason);
}

void ClaimTable::decide(std::uint64_t attempt, ClaimDecision::Kind kind, RequestReason reason, AnswerPointer answer)
{
    m_decisions.push_back({ attempt, kind, reason, std::move(answer) });
}

void ClaimTable::onReport(const ClaimMessage& message, Time now)
{
    const Claim reported = localCopy(message.claim, message.age, now);
    const auto found = m_claims.find(reported.key);
    if (found == m_claims.end())
        return store(reported);
    Claim merged = found->second;
    if (merged.merge(reported))
        store(merged);
}

void ClaimTable::sendReport(std::uint32_t to, const Claim& claim, Time now)
{
    ClaimMessage message;
    message.kind = ClaimMessageKind::Report;
    message.claim = claim;
    message.age = now - claim.since;
    send(to, std::move(message));
}

void ClaimTable::sendQuery(const Claim& claim)
{
    ClaimMessage message;
    message.kind = ClaimMessageKind::Query;
    message.claim = claim;
    send(claim.runner, std::move(message));
}

void ClaimTable::onQuery(const ClaimMessage& message, Time now)
{
    const Claim& queried = message.claim;
    if (queried.runner != m_view.self() || m_pending.contains(queried.attempt))
        return;
    const auto found = m_claims.find(queried.key);
    const bool stored
        = found != m_claims.end() && found->second.runner == queried.runner && found->second.attempt == queried.attempt;
    Claim answer = stored ? found->second : queried;
    answer.generation = std::max(answer.generation, queried.generation);
    const bool running = m_runs.contains(queried.attempt);
    if (running && answer.state == ClaimState::Running)
        return;
    if (!stored || answer.state == ClaimState::Running) { // a stored copy does not mean that the request runs
        answer.state = m_neverRun.contains(queried.attempt) ? ClaimState::NotRun : ClaimState::Unknown;
        answer.since = now;
    }
    sendReport(message.from, answer, now);
}

void ClaimTable::requestCollection(Time now)
{
    m_lastCollection = now;
    for (const auto& [member, cursor] : m_collecting) {
        ClaimMessage message;
        message.kind = ClaimMessageKind::Collect;
        message.cursor = cursor;
        send(member, std::move(message));
    }
}

// Replies only to a member with the same view and never to one at a later revision: until this agent has applied that
// revision, it may still accept grants from an earlier home agent.
void ClaimTable::onCollect(const ClaimMessage& message, Time now)
{
    if (message.view != m_view.hash() || message.revision > m_view.revision())
        return;
    ClaimMessage page;
    page.kind = ClaimMessageKind::Collected;
    page.cursor = message.cursor;
    std::size_t bytes = 0;
    const auto first = message.cursor.empty() ? m_claims.begin() : m_claims.upper_bound(message.cursor);
    for (auto entry = first; entry != m_claims.end(); ++entry) {
        if (m_view.homeOf(entry->first) != message.from)
            continue;
        if (page.claims.size() == maximumPageClaims || bytes > maximumPageBytes) {
            page.more = true;
            break;
        }
        bytes += entry->second.bytes();
        page.claims.emplace_back(entry->second, now - entry->second.since);
    }
    send(message.from, std::move(page));
}

void ClaimTable::onCollected(const ClaimMessage& message, Time now)
{
    const auto found = m_collecting.find(message.from);
    if (found == m_collecting.end() || message.view != m_view.hash() || message.cursor != found->second)
        return;
    for (const auto& [claim, age] : message.claims) {
        ClaimMessage report;
        report.claim = claim;
        report.age = age;
        onReport(report, now);
    }
    if (message.more) {
        found->second = message.claims.back().first.key;
        ClaimMessage next;
        next.kind = ClaimMessageKind::Collect;
        next.cursor = found->second;
        return send(message.from, std::move(next));
    }
    m_collecting.erase(found);
    if (!m_collecting.empty())
        return;
    m_settledViews = { m_view };
    m_repairCursor = "";
    markLostRuns(now);
}

void ClaimTable::tick(Time now)
{
    if (!m_collecting.empty() && now - m_lastCollection >= collectRetryInterval)
        requestCollection(now);
    retryPending(now);
    retryPlacements(now);
    repairCopies(now);
    if (now - m_lastSweep >= sweepInterval)
        sweep(now);
    dispatchLocal(now);
}

void ClaimTable::retryPending(Time now)
{
    std::vector<std::uint64_t> overdue;
    for (auto& [attempt, pending] : m_pending) {
        if (now - pending.began >= acquireTimeout)
            overdue.push_back(attempt);
        else if (now - pending.sent >= acquireRetryInterval)
            sendAcquire(attempt, pending, now);
    }
    for (const std::uint64_t attempt : overdue) {
        const RequestReason reason = m_pending.at(attempt).lastReason;
        endPending(attempt);
        decide(attempt, ClaimDecision::Kind::Refused, reason);
    }
}

void ClaimTable::retryPlacements(Time now)
{
    std::vector<std::string> overdue;
    for (auto& [key, placement] : m_placements) {
        if (now - placement.began >= placeTimeout)
            overdue.push_back(key);
        else if (now - placement.lastRequested >= placeWidenInterval)
            requestCopies(key, placement, placement.candidatesAsked + 1, now);
    }
    for (const auto& key : overdue) {
        if (!m_placements.at(key).grantPending) {
            beginPlacement(m_claims.at(key), false, now);
            continue;
        }
        const CopyPlacement ended = m_placements.extract(key).mapped();
        ClaimMessage acquire; // the claim stays running, because an earlier grant of it may be in flight
        acquire.claim = m_claims.at(key);
        acquire.from = ended.runner;
        acquire.claim.runner = ended.runner;
        acquire.claim.attempt = ended.attempt;
        sendDenial(acquire, RequestReason::WitnessUnreachable, now);
    }
}

// Copies are lost with holders that leave, so each home agent stores its claims on enough members again.
void ClaimTable::repairCopies(Time now)
{
    if (!m_repairCursor)
        return;
    auto entry = m_repairCursor->empty() ? m_claims.begin() : m_claims.upper_bound(*m_repairCursor);
    for (; entry != m_claims.end() && m_placements.size() < maximumRepairs; ++entry) {
        m_repairCursor = entry->first;
        const bool mine = m_view.homeOf(entry->first) == m_view.self();
        if (mine && !m_placements.contains(entry->first))
            beginPlacement(entry->second, false, now);
    }
    if (entry == m_claims.end())
        m_repairCursor.reset();
}

void ClaimTable::sweep(Time now)
{
    m_lastSweep = now;
    m_queried.clear();
    for (auto entry = m_claims.begin(); entry != m_claims.end();) {
        const Claim& claim = entry->second;
        const Time age = now - claim.since;
        if (claim.state != ClaimState::Running && age > m_limits.retention && !m_placements.contains(claim.key)) {
            m_bytes -= claim.bytes();
            entry = m_claims.erase(entry);
            continue;
        }
        const bool runsHere = claim.runner == m_view.self() && m_runs.contains(claim.attempt);
        if (claim.state == ClaimState::Running && !runsHere && age > queryAge && !m_placements.contains(claim.key))
            sendQuery(claim);
        ++entry;
    }
    markLostRuns(now);
}

void ClaimTable::store(const Claim& claim)
{
    Claim& stored = m_claims[claim.key];
    if (!stored.key.empty())
        m_bytes -= stored.bytes();
    stored = claim;
    m_bytes += stored.bytes();
}

} // namespace yuccahook::request
