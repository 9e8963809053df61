#include "flow/PacketBalancer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t subscribeIntervalMillis = 500;
constexpr FollowLimits followLimits { 16, 8 }; // many times what a balancer's flows need at a moment
constexpr std::uint64_t loadWaitMillis = 50; // many round trips between failure domains of a region
// Share of a route's latency goal that its requests may take over this balancer's link. The caller of a flow that is
// refused comes back through another balancer, and needs the rest of the goal for that or for the way behind the link.
constexpr double linkGoalShare = 0.5;
constexpr std::uint64_t cacheAgingIntervalMillis = 20'000; // longer than the usual idle limit of a flow

template <typename Number> Number saturated(std::uint64_t value)
{
    return static_cast<Number>(std::min<std::uint64_t>(value, std::numeric_limits<Number>::max()));
}

} // namespace

PacketBalancer::PacketBalancer(std::string domain, std::uint64_t seed, const PacketCodec& codec, PacketOutput& output,
    PacketBalancerOptions options)
    : m_domain(domainHash(domain))
    , m_codec(codec)
    , m_link(output, options.linkBytesPerSecond)
    , m_output(m_link)
    , m_homes(std::move(options.homes))
    , m_membership(std::make_shared<Membership>())
    , m_agents(
          std::move(domain), seed, followLimits, options.detectsOutliers ? OutlierMode::AvoidAndTry : OutlierMode::Off)
{
}

void PacketBalancer::setMembership(MembershipPointer membership, std::uint64_t nowMillis)
{
    m_membership = std::move(membership);
    m_link.setEnabled(m_membership->overload == OverloadPolicy::LeastCost);
    m_demand.keepRoutes([this](const net::Address& route) { return m_membership->route(route) != nullptr; });
    m_agents.setMembership(*m_membership, nowMillis);
    m_search.setAgents(m_agents.agents(), m_membership->revision, nowMillis);
    m_locators.setAgents(m_agents.agents());
    for (const auto& agent : m_agents.agents()) {
        if (agent.isFollowed && !agent.lastReportMillis)
            m_output.sendToTrunk(agent.trunk, encodeSubscribe(m_domain));
    }
    if (m_membership->routeVersion != 0 && m_firstRoutesMillis == 0)
        m_firstRoutesMillis = nowMillis;
    releaseStartupPackets(nowMillis);
}

// Without routes, no packet can be forwarded. Without loads, the buffered packets would all go to a few agents.
bool PacketBalancer::isStarting(std::uint64_t nowMillis) const
{
    if (m_firstRoutesMillis == 0)
        return true;
    if (nowMillis - m_firstRoutesMillis > loadWaitMillis)
        return false;
    const auto& agents = m_agents.agents();
    const auto followed = std::count_if(
        agents.begin(), agents.end(), [](const AgentDirectory::Agent& agent) { return agent.isFollowed; });
    const auto reported = std::count_if(agents.begin(), agents.end(),
        [](const AgentDirectory::Agent& agent) { return agent.isFollowed && agent.lastReportMillis; });
    return 2 * reported < followed;
}

void PacketBalancer::releaseStartupPackets(std::uint64_t nowMillis)
{
    if (m_startupPackets.size() > 0 && !isStarting(nowMillis))
        m_startupPackets.release(nowMillis, [this, nowMillis](PacketBytes packet, std::uint64_t waitedMillis) {
            handleCallerPacket(packet, waitedMillis, nowMillis);
        });
}

void PacketBalancer::tick(std::uint64_t nowMillis, std::uint64_t stalenessMillis)
{
    m_stalenessMillis = stalenessMillis;
    m_link.advance(nowMillis);
    m_pauseDetector.observe(nowMillis);
    releaseStartupPackets(nowMillis);
    m_startupPackets.expire(nowMillis);
    continueSearches(nowMillis);
    if (nowMillis - m_lastSubscribeMillis >= subscribeIntervalMillis) {
        m_lastSubscribeMillis = nowMillis;
        m_agents.chooseFollowed(nowMillis);
        const auto subscribe = encodeSubscribe(m_domain);
        for (const auto& agent : m_agents.agents()) {
            if (agent.isFollowed)
                m_output.sendToTrunk(agent.trunk, subscribe);
        }
    }
    if (nowMillis - m_lastAgingMillis < cacheAgingIntervalMillis)
        return;
    m_lastAgingMillis = nowMillis;
    m_cache.age();
}

void PacketBalancer::recordDecision(
    FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer)
{
    FlowDecision decision { verdict, reason, flow, peer, m_membership->revision };
    if (const auto* agent = m_agents.findByTrunk(peer)) {
        decision.busy = agent->load.busy;
        decision.slots = agent->load.slots;
    }
    m_output.recordDecision(decision);
}

void PacketBalancer::refuse(const PacketHeader& header, bool suppressReset, FlowReason reason)
{
    const PacketFlow flow = header.flowFromCaller();
    if (suppressReset) {
        recordDecision(FlowVerdict::Declined, reason, flow);
        return;
    }
    m_output.sendToCaller(flow.caller.host, m_codec.reset(flow, header.acknowledged));
    recordDecision(FlowVerdict::Refused, reason, flow);
}

void PacketBalancer::receiveFromCaller(PacketBytes packet, std::uint64_t nowMillis)
{
    m_link.advance(nowMillis);
    handleCallerPacket(packet, std::nullopt, nowMillis);
}

void PacketBalancer::handleCallerPacket(
    PacketBytes packet, std::optional<std::uint64_t> waitedMillis, std::uint64_t nowMillis)
{
    m_pauseDetector.observe(nowMillis);
    const auto header = m_codec.decode(packet);
    if (!header) {
        recordDecision(FlowVerdict::Dropped, FlowReason::Malformed, {});
        return;
    }
    const PacketFlow flow = header->flowFromCaller();
    if (header->bounced || (header->opens && (header->acknowledges || header->finishes || header->resets))) {
        recordDecision(FlowVerdict::Dropped, FlowReason::Forged, flow);
        return;
    }
    if (header->opens && m_pauseDetector.isCatchingUp(nowMillis)) {
        recordDecision(FlowVerdict::Dropped, FlowReason::Paused, flow);
        return;
    }
    if (!waitedMillis && isStarting(nowMillis)) {
        if (!m_startupPackets.add(flow, *header, packet, nowMillis))
            recordDecision(FlowVerdict::Dropped, FlowReason::RoutesStale, flow);
        return;
    }
    if (header->opens) {
        handleOpening(packet, *header, waitedMillis, nowMillis);
        return;
    }
    m_link.setFlow(hashOf(flow) | 1);
    countLongMessage(*header);
    const auto* placed = m_cache.find(flow);
    if (placed && m_agents.findByTrunk(placed->agent))
        m_output.sendToTrunk(placed->agent, encodePacket({}, packet));
    else
        searchFlow(packet, *header, nowMillis);
}

// Whether an agent that is not known to hold a flow may get its packets.
bool PacketBalancer::isHome(const PacketFlow& flow, std::uint32_t tag, const AgentDirectory::Agent& agent) const
{
    const auto* route = m_membership->route(flow.route.address());
    return route ? m_homes.isHome(route->homes, agent.domain) : m_homes.isHome(tag, agent.domain);
}

// All packets of a flow must get the same service, so the choice depends on the flow's addresses only. Returns 0 if the
// route has no known service.
std::uint32_t PacketBalancer::serviceOf(const PacketRoute& route, const PacketFlow& flow) const
{
    std::uint64_t total = 0;
    for (const auto& target : route.targets)
        total += target.weight;
    if (total == 0)
        return 0;
    std::uint64_t point = hashOf(flow) % total;
    for (const auto& target : route.targets) {
        if (point < target.weight) {
            const auto* service = m_membership->serviceNamed(target.service);
            return service ? service->id : 0;
        }
        point -= target.weight;
    }
    return 0;
}

// Whether the requests of a new flow of the route would pass this balancer's link soon enough for the latency goal.
bool PacketBalancer::linkCanCarry(const PacketRoute& route) const
{
    const std::uint64_t bytes = m_demand.bytesPerFlow(route.address);
    return bytes < LinkScheduler::bulkBytes || route.latencyGoalMillis == 0
        || static_cast<double>(m_link.delayMillis(bytes)) <= linkGoalShare * route.latencyGoalMillis;
}

void PacketBalancer::countLongMessage(const PacketHeader& header)
{
    if (m_link.isEnabled() && header.dataBytes >= LinkScheduler::bulkBytes)
        m_demand.addBytes(header.destination.address(), header.dataBytes);
}

void PacketBalancer::handleOpening(
    PacketBytes packet, const PacketHeader& header, std::optional<std::uint64_t> waitedMillis, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    const bool suppressReset = waitedMillis || header.retransmissions > 0;
    const auto* route = m_membership->route(flow.route.address());
    if (!route) {
        if (hasRecentRoutes())
            refuse(header, suppressReset, FlowReason::NoRoute);
        else
            recordDecision(FlowVerdict::Dropped, FlowReason::RoutesStale, flow);
        return;
    }
    PacketEnvelope envelope;
    envelope.suppressReset = suppressReset;
    envelope.service = serviceOf(*route, flow);
    envelope.goalMillis = saturated<std::uint16_t>(route->latencyGoalMillis);
    envelope.timeoutMillis = saturated<std::uint16_t>(route->timeoutMillis);
    envelope.waitedMillis = saturated<std::uint16_t>(waitedMillis.value_or(StartupPacketBuffer::ageMillisOf(header)));
    envelope.priority = saturated<std::uint8_t>(route->priority);
    envelope.homes = m_homes.tagOf(route->homes);
    m_search.remove(flow); // a caller that opens a flow has none with these addresses
    if (!suppressReset && m_link.isEnabled()) {
        if (!linkCanCarry(*route)) {
            refuse(header, false, FlowReason::LinkFull);
            return;
        }
        m_demand.addFlow(route->address);
    }
    const auto* placed = m_cache.find(flow);
    if (!placed) {
        sendToAgent(packet, header, envelope, FlowReason::None, nowMillis);
        return;
    }
    // A retransmission: the answer to the previous packet was late or lost. If the packet's agent has reported since,
    // it is alive and has handled that packet.
    const auto* agent = m_agents.findByTrunk(placed->agent);
    const bool hasReplied = placed->sentMillis == 0;
    const bool hasReportedSince = agent && agent->lastReportMillis && *agent->lastReportMillis >= placed->sentMillis;
    // An agent that is followed no longer, because its failure domain is evacuated, still reports for a while. It knows
    // whether the flow was answered there, and forwards it otherwise.
    const bool isAlive
        = agent && (agent->isFollowed ? hasReportedSince : hasReplied || (agent->isEvacuated && hasReportedSince));
    if (isAlive && agent->service == envelope.service && isHome(flow, envelope.homes, *agent)) {
        m_output.sendToTrunk(placed->agent, encodePacket(envelope, packet));
        return;
    }
    if (agent)
        envelope.tried.push_back(agent->member);
    sendToAgent(packet, header, envelope, FlowReason::AgentSilent, nowMillis);
}

void PacketBalancer::sendToAgent(
    PacketBytes packet, const PacketHeader& header, PacketEnvelope envelope, FlowReason reason, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    const auto* agent = m_agents.choose(envelope.service, envelope.tried, nowMillis,
        [&](const auto& candidate) { return isHome(flow, envelope.homes, candidate); });
    if (!agent) {
        FlowReason refusal = envelope.homes != 0 ? FlowReason::NoHome : FlowReason::NoAgent;
        if (m_agents.hasEvacuated(envelope.service))
            refusal = FlowReason::Evacuated;
        refuse(header, envelope.suppressReset, refusal);
        return;
    }
    const PacketEndpoint trunk = agent->trunk;
    if (reason == FlowReason::None && m_agents.isOutlier(*agent, nowMillis))
        reason = FlowReason::Outlier;
    m_output.sendToTrunk(trunk, encodePacket(envelope, packet));
    m_cache.set(flow, { trunk, nowMillis });
    m_agents.addFlow(trunk);
    recordDecision(FlowVerdict::Sent, reason, flow, trunk);
}

void PacketBalancer::searchFlow(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    const bool isNew = !m_search.contains(flow);
    const bool hasLocator = m_locators.locator(locatableService(flow), flow).has_value();
    if (!m_search.add(header, packet, nowMillis, hasLocator ? FlowSearch::locateMillis : 0))
        recordDecision(FlowVerdict::Dropped, FlowReason::SearchesFull, flow);
    else if (isNew)
        recordDecision(FlowVerdict::Searched, FlowReason::UnknownFlow, flow);
    if (hasLocator)
        askLocator(flow, nowMillis);
    continueSearches(nowMillis);
}

// The service whose agents may locate an existing flow; 0 if its route is gone, or has homes, which the locator would
// not know: it sends the packet to agents in all regions. The queries that follow carry no packets.
std::uint32_t PacketBalancer::locatableService(const PacketFlow& flow) const
{
    const auto* route = m_membership->route(flow.route.address());
    return route && route->homes.empty() ? serviceOf(*route, flow) : 0;
}

void PacketBalancer::askLocator(const PacketFlow& flow, std::uint64_t nowMillis)
{
    const auto request = m_search.nextLocate(flow, nowMillis);
    if (!request)
        return;
    PacketEnvelope envelope;
    envelope.kind = EnvelopeKind::Locate;
    envelope.service = locatableService(flow);
    if (const auto locator = m_locators.locator(envelope.service, flow, request->rank))
        m_output.sendToTrunk(*locator, encodePacket(envelope, request->packet));
}

// Sends the queries that are due, and resets the flows that no backend server holds.
void PacketBalancer::continueSearches(std::uint64_t nowMillis)
{
    if (m_search.size() == 0)
        return;
    for (const PacketFlow& flow : m_search.takeUnlocated(nowMillis))
        askLocator(flow, nowMillis);
    m_search.poll(
        nowMillis, [this](const PacketEndpoint& trunk, PacketBytes query) { m_output.sendToTrunk(trunk, query); });
    if (!hasRecentRoutes())
        return;
    for (const auto& ended : m_search.takeEnded()) {
        m_output.sendToCaller(ended.flow.caller.host, m_codec.reset(ended.flow, ended.acknowledged));
        recordDecision(FlowVerdict::Reset, FlowReason::NoHolder, ended.flow);
    }
}

void PacketBalancer::forwardFound(const PacketEndpoint& agent, const std::vector<std::vector<std::uint8_t>>& packets)
{
    for (const auto& packet : packets)
        m_output.sendToTrunk(agent, encodePacket({}, packet));
}

void PacketBalancer::handleHolder(const PacketEndpoint& source, PacketBytes datagram)
{
    const auto flow = decodeHolder(datagram);
    if (!flow || !m_agents.findByTrunk(source)) {
        recordDecision(FlowVerdict::Dropped, flow ? FlowReason::Forged : FlowReason::Malformed, {}, source);
        return;
    }
    m_cache.set(*flow, { source, 0 }); // the agent has replied, so retransmissions need no other one
    forwardFound(source, m_search.removeLocated(*flow, source));
}

// The agent does not hold the packet's flow: it ended or the agent was restarted.
void PacketBalancer::handleReturned(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    const auto returned = decodePacket(datagram);
    const auto header = returned ? m_codec.decode(returned->packet) : std::nullopt;
    if (!header || header->opens || !m_agents.findByTrunk(source)) {
        recordDecision(FlowVerdict::Dropped, header ? FlowReason::Forged : FlowReason::Malformed, {}, source);
        return;
    }
    const auto* placed = m_cache.find(header->flowFromCaller());
    if (placed && placed->agent != source)
        m_output.sendToTrunk(placed->agent, encodePacket({}, returned->packet));
    else {
        m_cache.erase(header->flowFromCaller());
        searchFlow(returned->packet, *header, nowMillis);
    }
}

void PacketBalancer::handleReply(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    const auto reply = decodeReply(datagram);
    const auto outcomes = reply ? m_search.handleReply(source, *reply, nowMillis) : std::nullopt;
    if (!outcomes) {
        recordDecision(FlowVerdict::Dropped, reply ? FlowReason::Forged : FlowReason::Malformed, {}, source);
        return;
    }
    for (const auto& outcome : *outcomes) {
        if (outcome.result == FlowSearch::Result::Found) {
            m_cache.set(outcome.flow, { source, 0 });
            forwardFound(source, outcome.packets);
            recordDecision(FlowVerdict::Found, FlowReason::None, outcome.flow, source);
            continue;
        }
        const auto* agent = m_agents.findByTrunk(source);
        if (agent && !isHome(outcome.flow, 0, *agent))
            continue; // unless it holds the flow, it must not get its packets
        PacketEnvelope envelope;
        envelope.kind = EnvelopeKind::Find;
        for (const auto& packet : outcome.packets)
            m_output.sendToTrunk(source, encodePacket(envelope, packet));
    }
}

void PacketBalancer::receiveFromAgent(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    if (datagram.empty())
        return;
    m_link.advance(nowMillis);
    switch (kindOf(datagram)) {
    case EnvelopeKind::Load:
        if (const auto load = decodeLoad(datagram))
            m_agents.recordLoad(source, *load, nowMillis);
        releaseStartupPackets(nowMillis);
        break;
    case EnvelopeKind::Holder:
        handleHolder(source, datagram);
        break;
    case EnvelopeKind::Returned:
        handleReturned(source, datagram, nowMillis);
        break;
    case EnvelopeKind::Reply:
        handleReply(source, datagram, nowMillis);
        break;
    case EnvelopeKind::Declined:
        handleDeclined(source, datagram, nowMillis);
        break;
    default:
        recordDecision(FlowVerdict::Dropped, FlowReason::Malformed, {}, source);
    }
    continueSearches(nowMillis);
}

void PacketBalancer::handleDeclined(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    auto declined = decodePacket(datagram);
    const auto header = declined ? m_codec.decode(declined->packet) : std::nullopt;
    if (!header || !header->opens)
        return;
    PacketEnvelope envelope = declined->envelope;
    envelope.kind = EnvelopeKind::Direct;
    envelope.origin = {};
    if (const auto* agent = m_agents.findByTrunk(source)) {
        AgentLoad load = agent->load;
        load.accepts = false;
        m_agents.recordLoad(source, load, nowMillis);
        envelope.tried.push_back(agent->member);
    }
    if (envelope.tried.size() > envelope.maximumTried())
        refuse(*header, envelope.suppressReset, FlowReason::NoAgent);
    else
        sendToAgent(declined->packet, *header, envelope, FlowReason::OtherService, nowMillis);
}

} // namespace yuccahook::flow
