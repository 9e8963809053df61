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
constexpr std::size_t copiesWanted = 3;
constexpr std::size_t domainsWanted = 2;
constexpr std::size_t pageClaims = 256;
constexpr std::size_t pageBytes = 1 << 20;
constexpr std::size_t maximumRepairs = 256; // at once
constexpr std::size_t maximumUnsettledViews = 16;

// A copy with its age made into local time.
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
        m_settledViews.clear(); // others have been the homes meanwhile
    m_view = view;
    if (sameMembers || !view.joined())
        return;
    m_placing.clear(); // their runners ask again
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
    loseRunners(now);
    if (m_collecting.empty())
        m_settledViews = { view };
    collectAgain(now);
    drainLocal(now);
}

// Their claims stay, so that nothing runs twice; only the outcome is lost, unless the runner reports it yet.
void ClaimTable::loseRunners(Time now)
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
    drainLocal(now);
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
        forgetAttempt(attempt);
}

void ClaimTable::forgetAttempt(std::uint64_t attempt)
{
    m_pending.erase(attempt);
    rememberNeverRun(attempt);
}

void ClaimTable::rememberNeverRun(std::uint64_t attempt)
{
    m_neverRun.insert(attempt);
    if (m_neverRun.size() > m_limits.maximumClaims)
        m_neverRun.erase(m_neverRun.begin()); // asked about it, this agent will say unknown
}

void ClaimTable::finish(std::uint64_t attempt, ClaimState state, AnswerPointer answer, Time now)
{
    const auto run = m_runs.find(attempt);
    if (run == m_runs.end())
        return;
    const Run ended = std::move(run->second);
    m_runs.erase(run);
    if (state == ClaimState::NotRun)
        rememberNeverRun(attempt);
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
            report(holder, claim, now);
    }
    drainLocal(now);
}

void ClaimTable::receive(const ClaimMessage& message, Time now)
{
    dispatch(message, now);
    drainLocal(now);
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

void ClaimTable::drainLocal(Time now)
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

bool ClaimTable::full() const { return m_claims.size() >= m_limits.maximumClaims || m_bytes >= m_limits.maximumBytes; }

void ClaimTable::deny(const ClaimMessage& acquire, RequestReason reason, Time now)
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
    const Claim& wanted = message.claim;
    if (message.view != m_view.hash() || m_view.homeOf(wanted.key) != m_view.self() || !mayGrant(wanted.key))
        return deny(message, RequestReason::HandoverPending, now);
    const auto found = m_claims.find(wanted.key);
    if (found == m_claims.end())
        return full() ? deny(message, RequestReason::ClaimsFull, now) : grantAnew(message, 0, now);
    const Claim& known = found->second;
    if (known.digest != wanted.digest)
        return deny(message, RequestReason::KeyReused, now);
    switch (known.state) {
    case ClaimState::Answered:
        return deny(message, RequestReason::None, now);
    case ClaimState::Unknown:
        return deny(message, RequestReason::EarlierRunUnknown, now);
    case ClaimState::NotRun:
        return grantAnew(message, known.generation + 1, now);
    case ClaimState::Running:
        break;
    }
    if (known.runner == message.from && known.attempt == wanted.attempt) {
        const auto placing = m_placing.find(wanted.key);
        if (placing == m_placing.end())
            beginPlacing(known, true, now);
        else
            placing->second.grants = true;
        return;
    }
    const std::pair asker(message.from, wanted.attempt);
    if (m_queried[wanted.key] == asker)
        return deny(message, RequestReason::StillRunning, now);
    m_queried[wanted.key] = asker; // it asks again in a moment, when the runner has had time to say
    query(known);
}

void ClaimTable::grantAnew(const ClaimMessage& message, std::uint32_t generation, Time now)
{
    Claim claim = message.claim;
    claim.runner = message.from;
    claim.generation = generation;
    claim.state = ClaimState::Running;
    claim.answer = nullptr;
    claim.since = now;
    store(claim);
    beginPlacing(claim, true, now);
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

// Besides home and runner.
std::size_t ClaimTable::copiesNeeded(std::uint32_t runner) const
{
    const std::size_t copies = std::min(copiesWanted, m_view.members().size());
    const std::size_t own = runner != m_view.self() && m_view.contains(runner) ? 2 : 1;
    return copies > own ? copies - own : 0;
}

void ClaimTable::beginPlacing(const Claim& claim, bool grants, Time now)
{
    Placing& placing = m_placing[claim.key];
    placing = {};
    placing.runner = claim.runner;
    placing.attempt = claim.attempt;
    placing.grants = grants;
    placing.began = now;
    placing.candidates = candidatesFor(claim);
    if (standsOnEnough(placing))
        return endPlacing(claim.key);
    askCandidates(claim.key, placing, copiesNeeded(claim.runner), now);
}

bool ClaimTable::standsOnEnough(const Placing& placing) const
{
    if (placing.placed.size() < copiesNeeded(placing.runner))
        return false;
    std::set<std::string> domains;
    const auto add = [this, &domains](std::uint32_t member) {
        if (const auto* found = m_view.find(member))
            domains.insert(found->domain);
    };
    add(m_view.self());
    add(placing.runner);
    std::for_each(placing.placed.begin(), placing.placed.end(), add);
    return domains.size() >= std::min(domainsWanted, m_view.domainCount());
}

void ClaimTable::askCandidates(const std::string& key, Placing& placing, std::size_t count, Time now)
{
    placing.widened = now;
    placing.asked = std::min(placing.candidates.size(), std::max(placing.asked, count));
    const Claim& claim = m_claims.at(key);
    for (std::size_t index = 0; index < placing.asked; ++index) {
        if (placing.placed.contains(placing.candidates[index].id))
            continue;
        ClaimMessage message;
        message.kind = ClaimMessageKind::Place;
        message.claim = claim;
        message.age = now - claim.since;
        message.repair = !placing.grants;
        send(placing.candidates[index].id, std::move(message));
    }
}

void ClaimTable::onPlace(const ClaimMessage& message, Time now)
{
    const Claim& wanted = message.claim;
    if (message.view != m_view.hash() || m_view.homeOf(wanted.key) != message.from)
        return;
    const auto found = m_claims.find(wanted.key);
    if (found == m_claims.end() && full() && !message.repair)
        return; // the home asks another agent
    onReport(message, now);
    const Claim& held = m_claims.at(wanted.key);
    if (held.attempt != wanted.attempt || held.runner != wanted.runner || held.generation != wanted.generation)
        return report(message.from, held, now);
    ClaimMessage placed;
    placed.kind = ClaimMessageKind::Placed;
    placed.claim = wanted;
    send(message.from, std::move(placed));
}

void ClaimTable::onPlaced(const ClaimMessage& message, Time)
{
    const std::string key = message.claim.key;
    const auto found = m_placing.find(key);
    if (found == m_placing.end() || message.view != m_view.hash())
        return;
    const Claim& claim = m_claims.at(key);
    if (claim.attempt != message.claim.attempt || claim.runner != message.claim.runner
        || claim.generation != message.claim.generation)
        return;
    found->second.placed.insert(message.from);
    if (standsOnEnough(found->second))
        endPlacing(key);
}

void ClaimTable::endPlacing(const std::string& key)
{
    const auto placing = m_placing.extract(key);
    const Claim& claim = m_claims.at(key);
    const Placing& placed = placing.mapped();
    const bool same = claim.runner == placed.runner && claim.attempt == placed.attempt;
    if (claim.state != ClaimState::Running || !placed.grants || !same)
        return;
    ClaimMessage message;
    message.kind = ClaimMessageKind::Grant;
    message.claim = claim;
    message.holders.assign(placed.placed.begin(), placed.placed.end());
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
        return onQuery(message, now); // too late: the home must learn what became of it
    const auto held = m_claims.find(message.claim.key);
    if (held == m_claims.end() && full()) {
        forgetAttempt(attempt);
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
        pending->second.lastReason = message.reason; // asked again until the timeout
        return;
    }
    forgetAttempt(attempt);
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

void ClaimTable::report(std::uint32_t to, const Claim& claim, Time now)
{
    ClaimMessage message;
    message.kind = ClaimMessageKind::Report;
    message.claim = claim;
    message.age = now - claim.since;
    send(to, std::move(message));
}

void ClaimTable::query(const Claim& claim)
{
    ClaimMessage message;
    message.kind = ClaimMessageKind::Query;
    message.claim = claim;
    send(claim.runner, std::move(message));
}

void ClaimTable::onQuery(const ClaimMessage& message, Time now)
{
    const Claim& asked = message.claim;
    if (asked.runner != m_view.self() || m_pending.contains(asked.attempt))
        return;
    const auto found = m_claims.find(asked.key);
    const bool held
        = found != m_claims.end() && found->second.runner == asked.runner && found->second.attempt == asked.attempt;
    Claim answer = held ? found->second : asked;
    answer.generation = std::max(answer.generation, asked.generation);
    const bool running = m_runs.contains(asked.attempt);
    if (running && answer.state == ClaimState::Running)
        return;
    if (!held || answer.state == ClaimState::Running) { // a copy alone does not make it run
        answer.state = m_neverRun.contains(asked.attempt) ? ClaimState::NotRun : ClaimState::Unknown;
        answer.since = now;
    }
    report(message.from, answer, now);
}

void ClaimTable::collectAgain(Time now)
{
    m_collectSent = now;
    for (const auto& [member, cursor] : m_collecting) {
        ClaimMessage message;
        message.kind = ClaimMessageKind::Collect;
        message.cursor = cursor;
        send(member, std::move(message));
    }
}

// Only under the same members, and never for an asker that knows later ones: until this agent has applied them, it
// may still take grants of an earlier home.
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
        if (page.claims.size() == pageClaims || bytes > pageBytes) {
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
    loseRunners(now);
}

void ClaimTable::tick(Time now)
{
    if (!m_collecting.empty() && now - m_collectSent >= collectRetryInterval)
        collectAgain(now);
    retryPending(now);
    retryPlacing(now);
    repairCopies(now);
    if (now - m_swept >= sweepInterval)
        sweep(now);
    drainLocal(now);
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
        forgetAttempt(attempt);
        decide(attempt, ClaimDecision::Kind::Refused, reason);
    }
}

void ClaimTable::retryPlacing(Time now)
{
    std::vector<std::string> overdue;
    for (auto& [key, placing] : m_placing) {
        if (now - placing.began >= placeTimeout)
            overdue.push_back(key);
        else if (now - placing.widened >= placeWidenInterval)
            askCandidates(key, placing, placing.asked + 1, now);
    }
    for (const auto& key : overdue) {
        if (!m_placing.at(key).grants) {
            beginPlacing(m_claims.at(key), false, now);
            continue;
        }
        const Placing ended = m_placing.extract(key).mapped();
        ClaimMessage acquire; // the claim stays running: an earlier grant of it may be under way
        acquire.claim = m_claims.at(key);
        acquire.from = ended.runner;
        acquire.claim.runner = ended.runner;
        acquire.claim.attempt = ended.attempt;
        deny(acquire, RequestReason::WitnessUnreachable, now);
    }
}

// Copies were lost with their holders: each home gives its claims to as many agents again.
void ClaimTable::repairCopies(Time now)
{
    if (!m_repairCursor)
        return;
    auto entry = m_repairCursor->empty() ? m_claims.begin() : m_claims.upper_bound(*m_repairCursor);
    for (; entry != m_claims.end() && m_placing.size() < maximumRepairs; ++entry) {
        m_repairCursor = entry->first;
        const bool mine = m_view.homeOf(entry->first) == m_view.self();
        if (mine && !m_placing.contains(entry->first))
            beginPlacing(entry->second, false, now);
    }
    if (entry == m_claims.end())
        m_repairCursor.reset();
}

void ClaimTable::sweep(Time now)
{
    m_swept = now;
    m_queried.clear();
    for (auto entry = m_claims.begin(); entry != m_claims.end();) {
        const Claim& claim = entry->second;
        const Time age = now - claim.since;
        if (claim.state != ClaimState::Running && age > m_limits.retention && !m_placing.contains(claim.key)) {
            m_bytes -= claim.bytes();
            entry = m_claims.erase(entry);
            continue;
        }
        const bool runsHere = claim.runner == m_view.self() && m_runs.contains(claim.attempt);
        if (claim.state == ClaimState::Running && !runsHere && age > queryAge && !m_placing.contains(claim.key))
            query(claim);
        ++entry;
    }
    loseRunners(now);
}

void ClaimTable::store(const Claim& claim)
{
    Claim& held = m_claims[claim.key];
    if (!held.key.empty())
        m_bytes -= held.bytes();
    held = claim;
    m_bytes += held.bytes();
}

} // namespace yuccahook::request
