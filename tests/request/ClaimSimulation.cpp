#include "ClaimSimulation.h"

#include <algorithm>
#include <set>

namespace yuccahook::request {

namespace {

constexpr Time lease = std::chrono::milliseconds(1500);
constexpr Time repairWindow = std::chrono::seconds(6); // a loss is repaired within it, at the loss rate below
constexpr std::size_t lossesAtOnce = 2;
constexpr std::uint64_t lossPercent = 5;
constexpr std::uint64_t repeatPercent = 5;
constexpr std::uint64_t latePercent = 3;

std::string answerOf(const std::string& key) { return "answer to " + key + " and its end"; }

} // namespace

struct ClaimSimulation::Agent {
    std::size_t index = 0;
    std::uint64_t life = 0; ///< Raised at each start and crash, so that what an earlier one left is ignored.
    std::uint32_t member = 0;
    bool alive = false;
    bool cut = false;
    std::uint64_t revision = 0;
    std::unique_ptr<ClaimTable> claims;
    std::map<std::uint64_t, std::shared_ptr<Sending>> waiting; // by attempt
};

struct ClaimSimulation::Caller {
    std::string key;
    bool done = false; ///< Answered, or told "unknown" late enough.
    bool unknown = false;
    bool otherSent = false; ///< The key may stand for the other body, whether that ran or not.
    bool otherGranted = false;
    bool toldReused = false;
};

/// One sending of a caller's request.
struct ClaimSimulation::Sending {
    std::uint64_t id = 0;
    std::size_t caller = 0;
    bool otherBody = false;
    bool replied = false;
    std::uint64_t attempt = 0;
    RequestMachine machine;
};

ClaimSimulation::ClaimSimulation(const SimulationOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
}

ClaimSimulation::~ClaimSimulation() = default;

void ClaimSimulation::at(Time delay, std::function<void()> work) { m_events.emplace(m_now + delay, std::move(work)); }

HistoryFindings ClaimSimulation::run()
{
    for (std::size_t index = 0; index < m_options.agents; ++index) {
        m_agents.push_back(std::make_unique<Agent>());
        m_agents.back()->index = index;
        start(index);
    }
    for (std::size_t index = 0; index < m_options.keys; ++index) {
        m_callers.push_back({ "key-" + std::to_string(index), false, false, false, false, false });
        at(millis(500, 20'000), [this, index] { send(index, false); });
        if (chance(30))
            at(millis(500, 20'000), [this, index] { send(index, false); });
        if (chance(20))
            at(millis(22'000, 30'000), [this, index] { send(index, true); });
    }
    at(std::chrono::seconds(2), [this] { breakSomething(); });
    while (!m_events.empty() && m_events.begin()->first <= m_options.end) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    check();
    return m_findings;
}

// Members reach the agents late and unevenly, and an agent may miss revisions between.
void ClaimSimulation::publish()
{
    ++m_revision;
    std::vector<ClaimMember> members;
    for (const auto& [id, index] : m_members)
        members.push_back({ id, "domain-" + std::to_string(index % 3) });
    for (const auto& agent : m_agents) {
        if (!agent->alive || agent->cut || chance(10))
            continue;
        at(millis(1, 300), [this, index = agent->index, life = agent->life, members, revision = m_revision] {
            Agent& target = *m_agents[index];
            if (target.life != life || target.revision >= revision || target.cut)
                return;
            target.revision = revision;
            target.claims->setView({ revision, target.member, members }, m_now);
            flush(target);
        });
    }
    // Whoever missed it has a later revision soon.
    at(millis(300, 600), [this, revision = m_revision] {
        if (revision == m_revision)
            publish();
    });
}

void ClaimSimulation::start(std::size_t index)
{
    Agent& agent = *m_agents[index];
    agent.alive = true;
    agent.cut = false;
    agent.revision = 0;
    ++agent.life;
    agent.waiting.clear();
    agent.claims = std::make_unique<ClaimTable>(ClaimLimits {});
    rejoin(index);
    tick(index, agent.life);
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
    ++agent.life;
    agent.waiting.clear();
    agent.claims.reset();
}

void ClaimSimulation::breakSomething()
{
    if (m_now > m_options.faultsEnd)
        return;
    at(millis(200, 2'000), [this] { breakSomething(); });
    std::erase_if(m_losses, [this](Time time) { return m_now - time > repairWindow; });
    const std::size_t index = below(m_agents.size());
    Agent& agent = *m_agents[index];
    if (m_losses.size() >= lossesAtOnce || !agent.alive || agent.cut)
        return;
    m_losses.push_back(m_now);
    const std::uint32_t member = agent.member;
    const auto expire = [this, member, index] {
        const Agent& late = *m_agents[index];
        if (late.member == member && late.alive && !late.cut)
            return; // back within its lease
        if (m_members.erase(member) > 0)
            publish();
    };
    if (chance(50)) {
        ++m_findings.crashes;
        stop(index);
        at(lease, expire);
        at(millis(100, 4'000), [this, index] { start(index); });
        return;
    }
    ++m_findings.cuts;
    agent.cut = true;
    at(lease, expire);
    at(millis(300, 4'000), [this, index, life = agent.life, member] {
        Agent& back = *m_agents[index];
        if (back.life != life)
            return;
        back.cut = false;
        if (m_members.contains(member))
            publish();
        else
            rejoin(index);
    });
}

void ClaimSimulation::tick(std::size_t index, std::uint64_t life)
{
    Agent& agent = *m_agents[index];
    if (agent.life != life)
        return;
    agent.claims->tick(m_now);
    flush(agent);
    at(ClaimTable::tickInterval, [this, index, life] { tick(index, life); });
}

void ClaimSimulation::flush(Agent& agent)
{
    for (auto& outgoing : agent.claims->takeMessages()) {
        if (agent.cut || chance(lossPercent))
            continue;
        if (m_options.mutation == Mutation::EmptyRegistration)
            outgoing.message.claims.clear();
        const int copies = chance(repeatPercent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const Time delay = chance(latePercent) ? millis(100, 5'000) : millis(1, 4);
            at(delay, [this, outgoing] { deliver(outgoing); });
        }
    }
    for (const auto& decision : agent.claims->takeDecisions())
        decide(agent, decision);
}

void ClaimSimulation::deliver(const ClaimTable::Outgoing& outgoing)
{
    for (const auto& agent : m_agents) {
        if (!agent->alive || agent->cut || agent->member != outgoing.to)
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
    auto sending = std::make_shared<Sending>();
    sending->id = ++m_lastSending;
    sending->caller = caller;
    sending->otherBody = otherBody;
    m_callers[caller].otherSent = m_callers[caller].otherSent || otherBody;
    if (!otherBody) {
        at(millis(500, 4'000), [this, caller] { send(caller, false); }); // resent unless it is done by then
    }
    if (!agent.alive)
        return;
    const std::string& key = m_callers[caller].key;
    if (m_options.mutation == Mutation::NoClaim)
        return dispatch(agent.index, agent.life, sending, false);
    sending->attempt = agent.claims->acquire(key, digestOf("POST", "/", otherBody ? "other" : key), m_now);
    agent.waiting[sending->attempt] = sending;
    flush(agent);
}

void ClaimSimulation::decide(Agent& agent, const ClaimDecision& decision)
{
    const auto found = agent.waiting.extract(decision.attempt);
    if (found.empty())
        return;
    const auto sending = found.mapped();
    switch (decision.kind) {
    case ClaimDecision::Kind::Granted:
        sending->machine.queue();
        if (sending->otherBody)
            m_callers[sending->caller].otherGranted = true;
        at(millis(0, 60), [this, index = agent.index, life = agent.life, sending] {
            if (m_agents[index]->life != life)
                return;
            if (!chance(10))
                return dispatch(index, life, sending, false);
            m_agents[index]->claims->finish(sending->attempt, ClaimState::NotRun, nullptr, m_now);
            sending->machine.fail(RequestReason::QueueFull);
            reply(sending, "");
            flush(*m_agents[index]);
        });
        return;
    case ClaimDecision::Kind::Repeated:
        sending->machine.repeat();
        return reply(sending, decision.answer->body);
    case ClaimDecision::Kind::Refused:
        sending->machine.fail(decision.reason);
        return reply(sending, "");
    case ClaimDecision::Kind::Unknown:
        sending->machine.failUnknown(decision.reason);
        return reply(sending, "");
    }
}

void ClaimSimulation::dispatch(std::size_t index, std::uint64_t life, std::shared_ptr<Sending> sending, bool again)
{
    sending->machine.dispatch();
    const std::string key = m_callers[sending->caller].key;
    const bool connectionLost = chance(8);
    const bool arrives = !connectionLost || chance(50);
    if (arrives)
        m_record.push_back({ key, sending->id, sending->otherBody });
    at(millis(2, 400), [this, index, life, sending, key, connectionLost, again] {
        if (m_agents[index]->life != life)
            return;
        if (!connectionLost)
            return complete(index, life, sending, answerOf(key));
        if (m_options.mutation == Mutation::BlindRetry && !again)
            return dispatch(index, life, sending, true);
        m_agents[index]->claims->finish(sending->attempt, ClaimState::Unknown, nullptr, m_now);
        sending->machine.fail(RequestReason::BackendLost);
        reply(sending, "");
        flush(*m_agents[index]);
    });
}

void ClaimSimulation::complete(
    std::size_t index, std::uint64_t, std::shared_ptr<Sending> sending, const std::string& whole)
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
    m_agents[index]->claims->finish(sending->attempt, ClaimState::Answered, answer, m_now);
    sending->machine.answer();
    reply(sending, body);
    flush(*m_agents[index]);
}

void ClaimSimulation::reply(const std::shared_ptr<Sending>& sending, const std::string& body)
{
    Caller& caller = m_callers[sending->caller];
    Outcome outcome = sending->machine.outcome();
    if (m_options.mutation == Mutation::FalseNotRun && outcome == Outcome::Unknown)
        outcome = Outcome::NotRun;
    const bool hasAnswer = outcome == Outcome::Answered || outcome == Outcome::Repeated;
    // Another body may be answered only when its own key came first, and then never the first one.
    if (hasAnswer && sending->otherBody && !caller.otherGranted)
        ++m_findings.reuseTaken;
    if (hasAnswer && !sending->otherBody && runOfOther(caller.key))
        ++m_findings.reuseTaken;
    caller.toldReused
        = caller.toldReused || (!sending->otherBody && sending->machine.reason() == RequestReason::KeyReused);
    if (outcome == Outcome::NotRun) {
        ++m_findings.notRun;
        m_notRun.push_back(sending->id);
    }
    if (outcome == Outcome::Unknown) {
        ++m_findings.unknown;
        caller.unknown = caller.unknown || sending->machine.reason() == RequestReason::EarlierRunUnknown;
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
    if (chance(70)) // otherwise the answer is lost on its way and the caller sends again
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
    for (const auto& [key, sending, otherBody] : m_record) {
        ++runs[key];
        ran.insert(sending);
    }
    for (const auto& [key, count] : runs)
        m_findings.ranTwice += count > 1 ? 1 : 0;
    for (const std::uint64_t sending : m_notRun)
        m_findings.falseNotRun += ran.contains(sending) ? 1 : 0;
    for (const auto& caller : m_callers) {
        const bool settled = caller.done || caller.unknown || (caller.toldReused && caller.otherSent);
        m_findings.unsettled += settled ? 0 : 1;
        m_findings.reuseTaken += caller.toldReused && !caller.otherSent ? 1 : 0;
    }
}

} // namespace yuccahook::request
