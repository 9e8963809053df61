#include "ClaimSimulation.h"

#include <algorithm>
#include <set>

namespace yuccahook::request {

namespace {

constexpr Time lease = std::chrono::milliseconds(1500);
// Lost copies are replaced within this time, at the message loss rate below.
constexpr Time repairWindow = std::chrono::seconds(6);
constexpr std::size_t maximumLosses = 2;
constexpr std::uint64_t lossPercent = 5;
constexpr std::uint64_t repeatPercent = 5;
constexpr std::uint64_t latePercent = 3;

std::string answerOf(const std::string& key) { return "answer to " + key + " and its end"; }

} // namespace

struct ClaimSimulation::Agent {
    std::size_t index = 0;
    /// Incremented at each start and crash, so that events of an earlier incarnation are ignored.
    std::uint64_t incarnation = 0;
    std::uint32_t member = 0;
    bool alive = false;
    bool partitioned = false;
    std::uint64_t revision = 0;
    std::unique_ptr<ClaimTable> claims;
    std::map<std::uint64_t, std::shared_ptr<Submission>> waiting; // by attempt
};

struct ClaimSimulation::Caller {
    std::string key;
    bool done = false; ///< Received an answer.
    bool unknown = false;
    bool otherSubmitted = false; ///< The other body was submitted, so the key may be bound to it.
    bool otherGranted = false;
    bool refusedAsReused = false;
};

/// One submission of a caller's request.
struct ClaimSimulation::Submission {
    std::uint64_t id = 0;
    std::size_t caller = 0;
    bool otherBody = false;
    bool replied = false;
    std::uint64_t attempt = 0;
    RequestStateMachine machine;
};

ClaimSimulation::ClaimSimulation(const SimulationOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
}

ClaimSimulation::~ClaimSimulation() = default;

void ClaimSimulation::after(Time delay, std::function<void()> work)
{
    m_events.emplace(m_now + delay, std::move(work));
}

HistoryFindings ClaimSimulation::run()
{
    for (std::size_t index = 0; index < m_options.agents; ++index) {
        m_agents.push_back(std::make_unique<Agent>());
        m_agents.back()->index = index;
        start(index);
    }
    for (std::size_t index = 0; index < m_options.keys; ++index) {
        m_callers.push_back({ "key-" + std::to_string(index), false, false, false, false, false });
        after(millis(500, 20'000), [this, index] { send(index, false); });
        if (chance(30))
            after(millis(500, 20'000), [this, index] { send(index, false); });
        if (chance(20))
            after(millis(22'000, 30'000), [this, index] { send(index, true); });
    }
    after(std::chrono::seconds(2), [this] { injectFault(); });
    while (!m_events.empty() && m_events.begin()->first <= m_options.end) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    check();
    return m_findings;
}

// Agents apply members late and at different times, and may miss revisions.
void ClaimSimulation::publish()
{
    ++m_revision;
    std::vector<ClaimMember> members;
    for (const auto& [id, index] : m_members)
        members.push_back({ id, "domain-" + std::to_string(index % 3) });
    for (const auto& agent : m_agents) {
        if (!agent->alive || agent->partitioned || chance(10))
            continue;
        after(millis(1, 300),
            [this, index = agent->index, incarnation = agent->incarnation, members, revision = m_revision] {
                Agent& target = *m_agents[index];
                if (target.incarnation != incarnation || target.revision >= revision || target.partitioned)
                    return;
                target.revision = revision;
                target.claims->setView({ revision, target.member, members }, m_now);
                flush(target);
            });
    }
    // An agent that missed this revision gets a later one soon.
    after(millis(300, 600), [this, revision = m_revision] {
        if (revision == m_revision)
            publish();
    });
}

void ClaimSimulation::start(std::size_t index)
{
    Agent& agent = *m_agents[index];
    agent.alive = true;
    agent.partitioned = false;
    agent.revision = 0;
    ++agent.incarnation;
    agent.waiting.clear();
    agent.claims = std::make_unique<ClaimTable>(ClaimLimits {});
    rejoin(index);
    tick(index, agent.incarnation);
}

void ClaimSimulation::rejoin(std::size_t index)
{
    std::erase_if(m_members, [index](const auto& entry) { return entry.second == index; });
    m_agents[index]->member = ++m_lastMember;
    m_members[m_lastMember] = index;
    publish();
}

void ClaimSimulation::stop(std::size_t index)
{
    Agent& agent = *m_agents[index];
    agent.alive = false;
    ++agent.incarnation;
    agent.waiting.clear();
    agent.claims.reset();
}

void ClaimSimulation::injectFault()
{
    if (m_now > m_options.faultsEnd)
        return;
    after(millis(200, 2'000), [this] { injectFault(); });
    std::erase_if(m_lossTimes, [this](Time time) { return m_now - time > repairWindow; });
    const std::size_t index = below(m_agents.size());
    Agent& agent = *m_agents[index];
    if (m_lossTimes.size() >= maximumLosses || !agent.alive || agent.partitioned)
        return;
    m_lossTimes.push_back(m_now);
    const std::uint32_t member = agent.member;
    const auto expire = [this, member, index] {
        const Agent& late = *m_agents[index];
        if (late.member == member && late.alive && !late.partitioned)
            return; // reachable again before its lease expired
        if (m_members.erase(member) > 0)
            publish();
    };
    if (chance(50)) {
        ++m_findings.crashes;
        stop(index);
        after(lease, expire);
        after(millis(100, 4'000), [this, index] { start(index); });
        return;
    }
    ++m_findings.partitions;
    agent.partitioned = true;
    after(lease, expire);
    after(millis(300, 4'000), [this, index, incarnation = agent.incarnation, member] {
        Agent& back = *m_agents[index];
        if (back.incarnation != incarnation)
            return;
        back.partitioned = false;
        if (m_members.contains(member))
            publish();
        else
            rejoin(index);
    });
}

void ClaimSimulation::tick(std::size_t index, std::uint64_t incarnation)
{
    Agent& agent = *m_agents[index];
    if (agent.incarnation != incarnation)
        return;
    agent.claims->tick(m_now);
    flush(agent);
    after(ClaimTable::tickInterval, [this, index, incarnation] { tick(index, incarnation); });
}

void ClaimSimulation::flush(Agent& agent)
{
    for (auto& outgoing : agent.claims->takeMessages()) {
        if (agent.partitioned || chance(lossPercent))
            continue;
        if (m_options.mutation == Mutation::EmptyCollection)
            outgoing.message.claims.clear();
        const int copies = chance(repeatPercent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const Time delay = chance(latePercent) ? millis(100, 5'000) : millis(1, 4);
            after(delay, [this, outgoing] { deliver(outgoing); });
        }
    }
    for (const auto& decision : agent.claims->takeDecisions())
        decide(agent, decision);
}

void ClaimSimulation::deliver(const ClaimTable::Outgoing& outgoing)
{
    for (const auto& agent : m_agents) {
        if (!agent->alive || agent->partitioned || agent->member != outgoing.to)
            continue;
        agent->claims->receive(outgoing.message, m_now);
        flush(*agent);
        return;
    }
}

void ClaimSimulation::send(std::size_t caller, bool otherBody)
{
    if (m_callers[caller].done && !otherBody)
        return;
    Agent& agent = *m_agents[below(m_agents.size())];
    auto submission = std::make_shared<Submission>();
    submission->id = ++m_lastSubmission;
    submission->caller = caller;
    submission->otherBody = otherBody;
    m_callers[caller].otherSubmitted = m_callers[caller].otherSubmitted || otherBody;
    if (!otherBody) {
        after(millis(500, 4'000), [this, caller] { send(caller, false); }); // submitted again unless it is done by then
    }
    if (!agent.alive)
        return;
    const std::string& key = m_callers[caller].key;
    if (m_options.mutation == Mutation::NoClaim)
        return dispatch(agent.index, agent.incarnation, submission, false);
    submission->attempt = agent.claims->acquire(key, digestOf("POST", "/", otherBody ? "other" : key), m_now);
    agent.waiting[submission->attempt] = submission;
    flush(agent);
}

void ClaimSimulation::decide(Agent& agent, const ClaimDecision& decision)
{
    const auto found = agent.waiting.extract(decision.attempt);
    if (found.empty())
        return;
    const auto submission = found.mapped();
    switch (decision.kind) {
    case ClaimDecision::Kind::Granted:
        submission->machine.queue();
        if (submission->otherBody)
            m_callers[submission->caller].otherGranted = true;
        after(millis(0, 60), [this, index = agent.index, incarnation = agent.incarnation, submission] {
            if (m_agents[index]->incarnation != incarnation)
                return;
            if (!chance(10))
                return dispatch(index, incarnation, submission, false);
            m_agents[index]->claims->finish(submission->attempt, ClaimState::NotRun, nullptr, m_now);
            submission->machine.fail(RequestReason::QueueFull);
            reply(submission, "");
            flush(*m_agents[index]);
        });
        return;
    case ClaimDecision::Kind::Repeated:
        submission->machine.repeat();
        return reply(submission, decision.answer->body);
    case ClaimDecision::Kind::Refused:
        submission->machine.fail(decision.reason);
        return reply(submission, "");
    case ClaimDecision::Kind::Unknown:
        submission->machine.failUnknown(decision.reason);
        return reply(submission, "");
    }
}

void ClaimSimulation::dispatch(
    std::size_t index, std::uint64_t incarnation, std::shared_ptr<Submission> submission, bool again)
{
    submission->machine.dispatch();
    const std::string key = m_callers[submission->caller].key;
    const bool connectionLost = chance(8);
    const bool arrives = !connectionLost || chance(50);
    if (arrives)
        m_record.push_back({ key, submission->id, submission->otherBody });
    after(millis(2, 400), [this, index, incarnation, submission, key, connectionLost, again] {
        if (m_agents[index]->incarnation != incarnation)
            return;
        if (!connectionLost)
            return complete(index, incarnation, submission, answerOf(key));
        if (m_options.mutation == Mutation::BlindRetry && !again)
            return dispatch(index, incarnation, submission, true);
        m_agents[index]->claims->finish(submission->attempt, ClaimState::Unknown, nullptr, m_now);
        submission->machine.fail(RequestReason::BackendLost);
        reply(submission, "");
        flush(*m_agents[index]);
    });
}

void ClaimSimulation::complete(
    std::size_t index, std::uint64_t, std::shared_ptr<Submission> submission, const std::string& whole)
{
    std::string body = whole;
    if (m_options.mutation == Mutation::CrossedAnswers && chance(5) && !m_lastAnswer.empty())
        body = m_lastAnswer;
    if (m_options.mutation == Mutation::TruncatedAnswers && chance(5))
        body.resize(body.size() / 2);
    m_lastAnswer = whole;
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = 200;
    answer->body = body;
    m_agents[index]->claims->finish(submission->attempt, ClaimState::Answered, answer, m_now);
    submission->machine.answer();
    reply(submission, body);
    flush(*m_agents[index]);
}

void ClaimSimulation::reply(const std::shared_ptr<Submission>& submission, const std::string& body)
{
    Caller& caller = m_callers[submission->caller];
    Outcome outcome = submission->machine.outcome();
    if (m_options.mutation == Mutation::FalseNotRun && outcome == Outcome::Unknown)
        outcome = Outcome::NotRun;
    const bool hasAnswer = outcome == Outcome::Answered || outcome == Outcome::Repeated;
    // The other body may be answered only when the key was granted to it, and then the first body never is.
    if (hasAnswer && submission->otherBody && !caller.otherGranted)
        ++m_findings.reuseViolations;
    if (hasAnswer && !submission->otherBody && runOfOther(caller.key))
        ++m_findings.reuseViolations;
    caller.refusedAsReused = caller.refusedAsReused
        || (!submission->otherBody && submission->machine.reason() == RequestReason::KeyReused);
    if (outcome == Outcome::NotRun) {
        ++m_findings.notRun;
        m_notRun.push_back(submission->id);
    }
    if (outcome == Outcome::Unknown) {
        ++m_findings.unknown;
        caller.unknown = caller.unknown || submission->machine.reason() == RequestReason::EarlierRunUnknown;
    }
    if (!hasAnswer)
        return;
    ++(outcome == Outcome::Answered ? m_findings.answered : m_findings.repeated);
    if (body != answerOf(caller.key))
        ++m_findings.wrongAnswers;
    const bool recorded = std::any_of(
        m_record.begin(), m_record.end(), [&caller](const Run& entry) { return entry.key == caller.key; });
    if (!recorded)
        ++m_findings.lostAnswers;
    if (chance(70)) // otherwise the answer is lost and the caller submits the request again
        caller.done = true;
}

bool ClaimSimulation::runOfOther(const std::string& key) const
{
    return std::any_of(
        m_record.begin(), m_record.end(), [&key](const Run& run) { return run.key == key && run.otherBody; });
}

void ClaimSimulation::check()
{
    std::map<std::string, std::uint64_t> runs;
    std::set<std::uint64_t> ran;
    for (const auto& [key, submission, otherBody] : m_record) {
        ++runs[key];
        ran.insert(submission);
    }
    for (const auto& [key, count] : runs)
        m_findings.ranTwice += count > 1 ? 1 : 0;
    for (const std::uint64_t submission : m_notRun)
        m_findings.falseNotRun += ran.contains(submission) ? 1 : 0;
    for (const auto& caller : m_callers) {
        const bool settled = caller.done || caller.unknown || (caller.refusedAsReused && caller.otherSubmitted);
        m_findings.unresolved += settled ? 0 : 1;
        m_findings.reuseViolations += caller.refusedAsReused && !caller.otherSubmitted ? 1 : 0;
    }
}

} // namespace yuccahook::request
