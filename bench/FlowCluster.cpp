#include "FlowCluster.h"

#include <algorithm>
#include <tuple>

namespace yuccahook::bench {

namespace {

constexpr double minimumNetworkDelaySeconds = 0.0003;
constexpr double maximumNetworkDelaySeconds = 0.004;
constexpr double settleSeconds = 8;
constexpr double maximumAgentRevisionDelaySeconds = 0.15;

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

void FlowCluster::schedule(Time delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, m_nextOrder++, std::move(action) });
}

flow::Time FlowCluster::randomDelay(double maximumSeconds)
{
    return seconds(std::uniform_real_distribution<double>(0, maximumSeconds)(m_random));
}

bool FlowCluster::chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

FlowClusterResult FlowCluster::run()
{
    publish();
    schedule(seconds(1), [] {});
    constexpr double startSeconds = 1;
    for (std::uint32_t index = 0; index < m_options.flows; ++index)
        schedule(seconds(startSeconds) + randomDelay(m_options.seconds), [this, index] { openFlow(index); });
    for (std::uint32_t index = 0; index < m_options.events; ++index)
        schedule(seconds(startSeconds) + randomDelay(m_options.seconds), [this] { changeMembership(); });
    const Time end = seconds(startSeconds + m_options.seconds + settleSeconds);
    const Time finalCheck = end - seconds(1);
    while (!m_events.empty() && m_events.top().at < end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        if (!m_finalCheck && m_now >= finalCheck) {
            // The cluster has settled: a packet of any open flow must reach it through any balancer.
            m_finalCheck = true;
            for (std::uint32_t index = 0; index < m_flows.size(); ++index) {
                if (m_flows[index].holder != 0)
                    schedule(randomDelay(maximumNetworkDelaySeconds), [this, index] { sendFromCaller(index); });
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
        agent.model = std::make_unique<ProductionFlowAgent>();
    // A process subscribes before it announces itself, so its first membership does not include it.
    if (m_membership.revision > 0)
        applyMembership(agent, std::make_shared<flow::Membership>(m_membership));
    m_agents.emplace(id, std::move(agent));
    flow::Member member;
    member.id = id;
    member.service = service;
    m_membership.members.push_back(member);
    schedule(randomDelay(0.1), [this, id] { tickAgent(id); });
}

void FlowCluster::tickAgent(std::uint32_t id)
{
    Agent& agent = m_agents.at(id);
    if (!agent.alive)
        return;
    agent.model->tick(m_now);
    flushMessages(agent);
    schedule(flow::AgentFlows::tickInterval, [this, id] { tickAgent(id); });
}

// Each process receives a revision after a random delay and ignores it if it has a newer one.
void FlowCluster::publish()
{
    ++m_membership.revision;
    ++m_result.revisions;
    const auto membership = std::make_shared<flow::Membership>(m_membership);
    const auto map = std::make_shared<flow::BucketMap>(membership, m_newestMap.get());
    m_newestMap = map;
    for (auto& [id, agent] : m_agents) {
        const double maximumDelay = chance(0.1) ? m_options.staleSeconds : maximumAgentRevisionDelaySeconds;
        schedule(
            randomDelay(maximumDelay), [this, id = id, membership] { applyMembership(m_agents.at(id), membership); });
    }
    for (std::uint32_t index = 0; index < m_balancers.size(); ++index) {
        schedule(randomDelay(m_options.staleSeconds), [this, index, map] {
            if (map->revision() > m_balancers[index].map->revision())
                m_balancers[index].map = map;
        });
    }
}

void FlowCluster::applyMembership(Agent& agent, const flow::MembershipPointer& membership)
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

void FlowCluster::changeMembership()
{
    Agent* agent = randomReadyAgent();
    if (!agent) {
        addAgent(std::uniform_int_distribution<std::uint32_t>(1, m_options.services)(m_random));
        publish();
    } else if (chance(m_options.crashShare)) {
        crash(*agent);
        if (chance(0.3)) { // two agents crash at once
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
        flow.ended = flow.lostWithServer = true;
        ++m_result.lostWithTheirServer;
    }
    const bool removed = chance(0.5);
    const bool restarts = chance(0.5);
    schedule(seconds(m_options.leaseSeconds), [this, id = agent.id, service = agent.service, removed, restarts] {
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
    // The agent drains at once; the membership records this later.
    schedule(randomDelay(0.2), [this, id = agent.id] {
        if (flow::Member* draining = member(id)) {
            draining->state = flow::MemberState::Draining;
            publish();
        }
    });
    schedule(seconds(2), [this, id = agent.id] { removeWhenEmpty(id); });
}

void FlowCluster::removeWhenEmpty(std::uint32_t id)
{
    Agent& agent = m_agents.at(id);
    if (!agent.alive)
        return;
    if (agent.model->size() > 0) {
        schedule(seconds(0.5), [this, id] { removeWhenEmpty(id); });
        return;
    }
    agent.alive = false;
    std::erase_if(m_membership.members, [id](const flow::Member& member) { return member.id == id; });
    publish();
}

void FlowCluster::openFlow(std::uint32_t index)
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
    const Balancer& sender = m_balancers[balancer];
    const std::uint64_t packetId = m_nextPacketId++;
    PacketInFlight& sent = m_inFlight[packetId];
    sent.flow = index;
    sent.balancer = balancer;
    sent.flowWasOpen = flow.holder != 0;
    ++m_result.packets;
    flow::Packet packet;
    packet.key = flow.key;
    packet.revision = sender.map->revision();
    std::uint32_t target = sender.hints ? sender.hints->holderOf(flow.key) : 0;
    if (target == 0 || !sender.map->membership().member(target)) {
        const auto* owner = sender.map->ownerOf(flow.key);
        target = owner ? owner->id : 0;
    }
    if (m_options.naive)
        target = naiveTarget(sender, flow.key);
    sent.copies = 1;
    transmit(packetId, packet, target);
    finishCopy(packetId);
    if (m_finalCheck)
        return;
    if (flow.packetsLeft > 0)
        --flow.packetsLeft;
    // A third of the flows close after their last packet. A third stay open to the end. A third also stay open, with
    // pauses between packets that are three times as long.
    const bool ends = flow.packetsLeft == 0 && index % 3 == 0;
    const double pauseSeconds = m_options.seconds / 2 / m_options.packetsPerFlow * (index % 3 == 1 ? 3 : 1);
    if (ends)
        schedule(seconds(pauseSeconds), [this, index] { endFlow(index); });
    else if (flow.packetsLeft > 0)
        schedule(randomDelay(pauseSeconds), [this, index] { sendFromCaller(index); });
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

void FlowCluster::transmit(std::uint64_t packetId, flow::Packet packet, std::uint32_t to)
{
    PacketInFlight& sent = m_inFlight.at(packetId);
    const int copies = chance(m_options.repeat) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (chance(m_options.loss)) {
            sent.lostByNetwork = true;
            continue;
        }
        ++sent.copies;
        const double maximumDelay = copy > 0 && chance(0.2) ? m_options.lateSeconds : maximumNetworkDelaySeconds;
        schedule(seconds(minimumNetworkDelaySeconds) + randomDelay(maximumDelay),
            [this, packetId, packet, to] { receivePacket(packetId, packet, to); });
    }
}

// An agent has no address of a member that its membership does not include, so the packet is dropped.
void FlowCluster::forward(std::uint64_t packetId, const flow::Packet& packet, const Agent& from, std::uint32_t to)
{
    ++m_result.forwards;
    if (from.membership && from.membership->member(to))
        transmit(packetId, packet, to);
}

void FlowCluster::receivePacket(std::uint64_t packetId, const flow::Packet& packet, std::uint32_t to)
{
    const auto found = m_agents.find(to);
    if (found == m_agents.end() || !found->second.alive) {
        m_inFlight.at(packetId).lostByNetwork = true; // no agent that could decide
        finishCopy(packetId);
        return;
    }
    flow::Decision decision = found->second.model->decide(packet, m_now);
    if (m_options.alterDecision)
        m_options.alterDecision(decision);
    applyDecision(packetId, packet, found->second, decision);
    finishCopy(packetId);
}

void FlowCluster::applyDecision(
    std::uint64_t packetId, flow::Packet packet, Agent& agent, const flow::Decision& decision)
{
    PacketInFlight& sent = m_inFlight.at(packetId);
    packet.revision = std::max(packet.revision, agent.revision);
    packet.routing = decision.routing;
    ++packet.hops;
    switch (decision.verdict) {
    case flow::Verdict::Open:
        handleDelivery(sent, agent, true);
        break;
    case flow::Verdict::Deliver:
        handleDelivery(sent, agent, false);
        break;
    case flow::Verdict::Forward:
        forward(packetId, packet, agent, decision.member);
        break;
    case flow::Verdict::Probe:
        for (const std::uint32_t member : agent.model->probeTargets()) {
            forward(packetId, packet, agent, member);
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

void FlowCluster::handleDelivery(PacketInFlight& sent, Agent& agent, bool opened)
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
        const bool openAtOther = std::any_of(m_agents.begin(), m_agents.end(), [&](const auto& entry) {
            return entry.second.alive && entry.first != agent.id && entry.second.service == agent.service
                && entry.second.model->hasOpenFlow(flow.key);
        });
        if (openAtOther)
            ++m_result.duplicates;
    }
    if (flow.ended) {
        if (opened) // opened by a late packet of a flow that has ended
            agent.model->close(flow.key, m_now);
        return;
    }
    if (flow.holder != 0 && flow.holder != agent.id)
        markBroken(flow);
    if (flow.holder == 0)
        flow.holder = agent.id;
}

void FlowCluster::finishCopy(std::uint64_t packetId)
{
    const auto found = m_inFlight.find(packetId);
    PacketInFlight& sent = found->second;
    if (--sent.copies > 0)
        return;
    Flow& flow = m_flows[sent.flow];
    const bool lost = !sent.delivered && !sent.lostByNetwork && !flow.ended;
    if (lost && sent.flowWasOpen) {
        ++m_result.undelivered;
        if (m_finalCheck)
            markBroken(flow);
    } else if (lost) {
        ++m_result.openingsRefused;
    }
    m_inFlight.erase(found);
}

void FlowCluster::markBroken(Flow& flow)
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
            const double maximumDelay = copy > 0 ? m_options.lateSeconds : maximumNetworkDelaySeconds;
            schedule(seconds(minimumNetworkDelaySeconds) + randomDelay(maximumDelay), [this, message] {
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
