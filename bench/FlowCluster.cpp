#include "FlowCluster.h"

#include <algorithm>
#include <tuple>

namespace yuccahook::bench {

namespace {

constexpr double minimumDelaySeconds = 0.0003;
constexpr double maximumDelaySeconds = 0.004;
constexpr double quietSeconds = 8;
constexpr double agentRevisionSeconds = 0.15;

flow::Time seconds(double value)
{
    return std::chrono::duration_cast<flow::Time>(std::chrono::duration<double>(value));
}

} // namespace

FlowCluster::FlowCluster(FlowClusterOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_membership.cluster = 1;
    for (std::uint32_t id = 1; id <= m_options.services; ++id) {
        flow::ServiceSpec service;
        service.id = id;
        service.buckets = 64;
        m_membership.services.push_back(service);
    }
    for (std::uint32_t id = 1; id <= m_options.services; ++id) {
        for (std::uint32_t count = 0; count < m_options.agentsPerService; ++count)
            addAgent(id);
    }
    m_balancers.resize(m_options.balancers);
    for (auto& balancer : m_balancers) {
        balancer.map = std::make_shared<flow::BucketMap>(std::make_shared<flow::Membership>(m_membership));
        balancer.hints = m_options.hints > 0 ? std::make_unique<flow::HintCache>(m_options.hints) : nullptr;
    }
    m_flows.resize(m_options.flows);
}

void FlowCluster::after(Time delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

flow::Time FlowCluster::randomTime(double limit)
{
    return seconds(std::uniform_real_distribution<double>(0, limit)(m_random));
}

bool FlowCluster::chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

FlowClusterResult FlowCluster::run()
{
    publish();
    after(seconds(1), [] {});
    constexpr double startSeconds = 1;
    for (std::uint32_t index = 0; index < m_options.flows; ++index)
        after(seconds(startSeconds) + randomTime(m_options.seconds), [this, index] { startFlow(index); });
    for (std::uint32_t index = 0; index < m_options.events; ++index)
        after(seconds(startSeconds) + randomTime(m_options.seconds), [this] { change(); });
    const Time end = seconds(startSeconds + m_options.seconds + quietSeconds);
    const Time lastCheck = end - seconds(1);
    while (!m_events.empty() && m_events.top().at < end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        if (!m_quiet && m_now >= lastCheck) {
            // All is quiet: every flow that is still open must be reached through any balancer.
            m_quiet = true;
            for (std::uint32_t index = 0; index < m_flows.size(); ++index) {
                if (m_flows[index].holder != 0)
                    after(randomTime(maximumDelaySeconds), [this, index] { sendFromCaller(index); });
            }
        }
        event.action();
    }
    for (auto& [id, agent] : m_agents) {
        const auto counts = agent.model->counts();
        m_result.counts.opened += counts.opened;
        m_result.counts.placedOnPeers += counts.placedOnPeers;
        m_result.counts.declined += counts.declined;
        m_result.counts.bucketsTakenOver += counts.bucketsTakenOver;
        m_result.counts.bucketsRecovered += counts.bucketsRecovered;
        m_result.counts.conflicts += counts.conflicts;
        if (agent.alive)
            m_result.bucketsWaiting += agent.model->bucketsWaiting();
    }
    return m_result;
}

void FlowCluster::addAgent(std::uint32_t service)
{
    const std::uint32_t id = m_nextId++;
    Agent agent;
    agent.id = id;
    agent.service = service;
    if (m_options.naive)
        agent.model = std::make_unique<NaiveFlowAgent>();
    else
        agent.model = std::make_unique<OwnFlowAgent>();
    // A process subscribes before it announces, so it knows a membership without itself.
    if (m_membership.revision > 0)
        tell(agent, std::make_shared<flow::Membership>(m_membership));
    m_agents.emplace(id, std::move(agent));
    flow::Member member;
    member.id = id;
    member.service = service;
    m_membership.members.push_back(member);
    after(randomTime(0.1), [this, id] { tickAgent(id); });
}

void FlowCluster::tickAgent(std::uint32_t id)
{
    Agent& agent = m_agents.at(id);
    if (!agent.alive)
        return;
    agent.model->tick(m_now);
    flushMessages(agent);
    after(flow::AgentFlows::tickInterval, [this, id] { tickAgent(id); });
}

// Each process hears of a revision in its own time, and may miss some.
void FlowCluster::publish()
{
    ++m_membership.revision;
    ++m_result.revisions;
    const auto membership = std::make_shared<flow::Membership>(m_membership);
    const auto map = std::make_shared<flow::BucketMap>(membership, m_map.get());
    m_map = map;
    for (auto& [id, agent] : m_agents) {
        const double limit = chance(0.1) ? m_options.staleSeconds : agentRevisionSeconds;
        after(randomTime(limit), [this, id = id, membership] { tell(m_agents.at(id), membership); });
    }
    for (std::uint32_t index = 0; index < m_balancers.size(); ++index) {
        after(randomTime(m_options.staleSeconds), [this, index, map] {
            if (map->revision() > m_balancers[index].map->revision())
                m_balancers[index].map = map;
        });
    }
}

void FlowCluster::tell(Agent& agent, const flow::MembershipPointer& membership)
{
    if (!agent.alive || membership->revision <= agent.revision)
        return;
    agent.revision = membership->revision;
    agent.membership = membership;
    agent.model->setMembership(membership, membership->member(agent.id) ? agent.id : 0);
    flushMessages(agent);
}

flow::Member* FlowCluster::member(std::uint32_t id)
{
    const auto found = std::find_if(m_membership.members.begin(), m_membership.members.end(),
        [id](const flow::Member& member) { return member.id == id; });
    return found != m_membership.members.end() ? &*found : nullptr;
}

FlowCluster::Agent* FlowCluster::randomReadyAgent()
{
    std::vector<Agent*> ready;
    for (auto& [id, agent] : m_agents) {
        if (agent.alive && !agent.draining)
            ready.push_back(&agent);
    }
    Agent* chosen = ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(m_random)];
    const auto sameService = std::count_if(
        ready.begin(), ready.end(), [chosen](const Agent* agent) { return agent->service == chosen->service; });
    return sameService > 2 ? chosen : nullptr;
}

void FlowCluster::change()
{
    Agent* agent = randomReadyAgent();
    if (!agent) {
        addAgent(std::uniform_int_distribution<std::uint32_t>(1, m_options.services)(m_random));
        publish();
    } else if (chance(m_options.crashShare)) {
        crash(*agent);
        if (chance(0.3)) { // two at once
            if (Agent* second = randomReadyAgent())
                crash(*second);
        }
    } else if (chance(0.35)) {
        drain(*agent);
    } else if (chance(0.6)) {
        addAgent(agent->service);
        publish();
    } else {
        member(agent->id)->weight = std::uniform_int_distribution<std::uint32_t>(50, 150)(m_random);
        publish();
    }
}

void FlowCluster::crash(Agent& agent)
{
    agent.alive = false;
    for (auto& flow : m_flows) {
        if (flow.holder != agent.id)
            continue;
        flow.holder = 0;
        flow.ended = flow.serverLost = true;
        ++m_result.lostWithTheirServer;
    }
    const bool removed = chance(0.5);
    const bool restarts = chance(0.5);
    after(seconds(m_options.leaseSeconds), [this, id = agent.id, service = agent.service, removed, restarts] {
        if (removed)
            std::erase_if(m_membership.members, [id](const flow::Member& member) { return member.id == id; });
        else
            member(id)->state = flow::MemberState::Lost;
        if (restarts)
            addAgent(service);
        publish();
    });
}

void FlowCluster::drain(Agent& agent)
{
    agent.draining = true;
    agent.model->drain();
    // The agent knows first; the membership says so later.
    after(randomTime(0.2), [this, id = agent.id] {
        if (flow::Member* draining = member(id)) {
            draining->state = flow::MemberState::Draining;
            publish();
        }
    });
    after(seconds(2), [this, id = agent.id] { leaveWhenEmpty(id); });
}

void FlowCluster::leaveWhenEmpty(std::uint32_t id)
{
    Agent& agent = m_agents.at(id);
    if (!agent.alive)
        return;
    if (agent.model->size() > 0) {
        after(seconds(0.5), [this, id] { leaveWhenEmpty(id); });
        return;
    }
    agent.alive = false;
    std::erase_if(m_membership.members, [id](const flow::Member& member) { return member.id == id; });
    publish();
}

void FlowCluster::startFlow(std::uint32_t index)
{
    Flow& flow = m_flows[index];
    const std::uint32_t service = 1 + index % m_options.services;
    flow.key = { { 0, m_random() | 1, static_cast<std::uint16_t>(1 + index % 60000) }, service };
    flow.packetsLeft = m_options.packetsPerFlow;
    ++m_result.flows;
    sendFromCaller(index);
}

void FlowCluster::sendFromCaller(std::uint32_t index)
{
    Flow& flow = m_flows[index];
    if (flow.ended)
        return;
    const auto balancer = std::uniform_int_distribution<std::uint32_t>(0, m_balancers.size() - 1)(m_random);
    const Balancer& at = m_balancers[balancer];
    const std::uint64_t id = m_nextSent++;
    Sent& sent = m_sent[id];
    sent.flow = index;
    sent.balancer = balancer;
    sent.wasOpen = flow.holder != 0;
    ++m_result.packets;
    flow::Packet packet;
    packet.key = flow.key;
    packet.revision = at.map->revision();
    std::uint32_t target = at.hints ? at.hints->holderOf(flow.key) : 0;
    if (target == 0 || !at.map->membership().member(target)) {
        const auto* owner = at.map->ownerOf(flow.key);
        target = owner ? owner->id : 0;
    }
    if (m_options.naive)
        target = naiveTarget(at, flow.key);
    sent.copies = 1;
    transmit(id, packet, target);
    copyGone(id);
    if (m_quiet)
        return;
    if (flow.packetsLeft > 0)
        --flow.packetsLeft;
    // A third stays open to the end, a third ends, a third stays silent for a while.
    const bool ends = flow.packetsLeft == 0 && index % 3 == 0;
    const double pause = m_options.seconds / 2 / m_options.packetsPerFlow * (index % 3 == 1 ? 3 : 1);
    if (ends)
        after(seconds(pause), [this, index] { endFlow(index); });
    else if (flow.packetsLeft > 0)
        after(randomTime(pause), [this, index] { sendFromCaller(index); });
}

std::uint32_t FlowCluster::naiveTarget(const Balancer& balancer, const flow::FlowKey& key) const
{
    std::vector<std::uint32_t> ready;
    for (const auto& member : balancer.map->membership().members) {
        if (member.service == key.service && member.state == flow::MemberState::Ready)
            ready.push_back(member.id);
    }
    return ready.empty() ? 0 : ready[hashOf(key) % ready.size()];
}

void FlowCluster::transmit(std::uint64_t id, flow::Packet packet, std::uint32_t to)
{
    Sent& sent = m_sent.at(id);
    const int copies = chance(m_options.repeat) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(m_options.loss)) {
            sent.networkLost = true;
            continue;
        }
        ++sent.copies;
        const double late = copy > 0 && chance(0.2) ? m_options.lateSeconds : maximumDelaySeconds;
        after(seconds(minimumDelaySeconds) + randomTime(late), [this, id, packet, to] { arrive(id, packet, to); });
    }
}

// An agent has no address of a member that its membership does not name.
void FlowCluster::passOn(std::uint64_t id, const flow::Packet& packet, const Agent& from, std::uint32_t to)
{
    ++m_result.forwards;
    if (from.membership && from.membership->member(to))
        transmit(id, packet, to);
}

void FlowCluster::arrive(std::uint64_t id, const flow::Packet& packet, std::uint32_t to)
{
    const auto found = m_agents.find(to);
    if (found == m_agents.end() || !found->second.alive) {
        m_sent.at(id).networkLost = true; // nobody there to decide
        copyGone(id);
        return;
    }
    flow::Decision decision = found->second.model->decide(packet, m_now);
    if (m_options.alterDecision)
        m_options.alterDecision(decision);
    act(id, packet, found->second, decision);
    copyGone(id);
}

void FlowCluster::act(std::uint64_t id, flow::Packet packet, Agent& agent, const flow::Decision& decision)
{
    Sent& sent = m_sent.at(id);
    packet.revision = std::max(packet.revision, agent.revision);
    packet.routing = decision.routing;
    ++packet.hops;
    switch (decision.verdict) {
    case flow::Verdict::Open:
        delivered(sent, agent, true);
        break;
    case flow::Verdict::Deliver:
        delivered(sent, agent, false);
        break;
    case flow::Verdict::Forward:
        passOn(id, packet, agent, decision.member);
        break;
    case flow::Verdict::Probe:
        for (const std::uint32_t member : agent.model->probeTargets()) {
            passOn(id, packet, agent, member);
            packet.routing.kind = flow::RoutingKind::Probe;
        }
        break;
    case flow::Verdict::Refuse:
        if (m_balancers[sent.balancer].hints)
            m_balancers[sent.balancer].hints->forget(packet.key);
        break;
    case flow::Verdict::Drop:
        break;
    }
}

void FlowCluster::delivered(Sent& sent, Agent& agent, bool opened)
{
    Flow& flow = m_flows[sent.flow];
    sent.delivered = true;
    if (agent.service != flow.key.service)
        ++m_result.misrouted;
    if (m_balancers[sent.balancer].hints)
        m_balancers[sent.balancer].hints->learn(flow.key, agent.id);
    if (opened && agent.draining)
        ++m_result.openedWhileDraining;
    if (opened) {
        const bool elsewhere = std::any_of(m_agents.begin(), m_agents.end(), [&](const auto& entry) {
            return entry.second.alive && entry.first != agent.id && entry.second.service == agent.service
                && entry.second.model->hasOpenFlow(flow.key);
        });
        if (elsewhere)
            ++m_result.duplicates;
    }
    if (flow.ended) {
        if (opened) // a late packet of a flow that is over
            agent.model->close(flow.key, m_now);
        return;
    }
    if (flow.holder != 0 && flow.holder != agent.id)
        breakFlow(flow);
    if (flow.holder == 0)
        flow.holder = agent.id;
}

void FlowCluster::copyGone(std::uint64_t id)
{
    const auto found = m_sent.find(id);
    Sent& sent = found->second;
    if (--sent.copies > 0)
        return;
    Flow& flow = m_flows[sent.flow];
    const bool lost = !sent.delivered && !sent.networkLost && !flow.ended;
    if (lost && sent.wasOpen) {
        ++m_result.undelivered;
        if (m_quiet)
            breakFlow(flow);
    } else if (lost) {
        ++m_result.openingsRefused;
    }
    m_sent.erase(found);
}

void FlowCluster::breakFlow(Flow& flow)
{
    if (!flow.broken)
        ++m_result.broken;
    flow.broken = true;
}

void FlowCluster::endFlow(std::uint32_t index)
{
    Flow& flow = m_flows[index];
    flow.ended = true;
    if (flow.holder != 0 && m_agents.at(flow.holder).alive)
        m_agents.at(flow.holder).model->close(flow.key, m_now);
    flow.holder = 0;
}

void FlowCluster::flushMessages(Agent& agent)
{
    for (auto& message : agent.model->takeMessages()) {
        ++m_result.messages;
        m_result.messageEntries += message.entries.size();
        if (m_options.alterMessage && !m_options.alterMessage(message))
            continue;
        if (chance(m_options.loss) || !agent.membership->member(message.to))
            continue;
        const int copies = chance(m_options.repeat) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const double late = copy > 0 ? m_options.lateSeconds : maximumDelaySeconds;
            after(seconds(minimumDelaySeconds) + randomTime(late), [this, message] {
                const auto found = m_agents.find(message.to);
                if (found == m_agents.end() || !found->second.alive)
                    return;
                found->second.model->receive(message, m_now);
                flushMessages(found->second);
            });
        }
    }
}

} // namespace yuccahook::bench
