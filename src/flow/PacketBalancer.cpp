#include "flow/PacketBalancer.h"

#include <algorithm>
#include <limits>

namespace yuccahook::flow {

namespace {

// Within it a missing route is known to be missing: several polls of the control instances.
constexpr std::uint64_t freshMillis = 1500;
constexpr std::uint64_t subscribeMillis = 500;
constexpr std::uint64_t loadsMillis = 50; // many round trips between failure domains of a region
constexpr std::uint64_t cacheAgeMillis = 20'000; // above the usual idle limit of a flow

template <typename Number> Number bounded(std::uint64_t value)
{
    return static_cast<Number>(std::min<std::uint64_t>(value, std::numeric_limits<Number>::max()));
}

} // namespace

PacketBalancer::PacketBalancer(std::string domain, std::uint64_t seed, const PacketCodec& codec, PacketOutput& output)
    : m_domain(domainHash(domain))
    , m_codec(codec)
    , m_output(output)
    , m_membership(std::make_shared<Membership>())
    , m_agents(std::move(domain), seed)
{
}

void PacketBalancer::setMembership(MembershipPointer membership, std::uint64_t nowMillis)
{
    m_membership = std::move(membership);
    m_agents.setMembership(*m_membership);
    for (const auto& agent : m_agents.agents()) {
        if (!agent.heardMillis)
            m_output.sendToTrunk(agent.trunk, encodeSubscribe(m_domain));
    }
    if (m_membership->routeVersion != 0 && m_routesMillis == 0)
        m_routesMillis = nowMillis;
    releaseHeld(nowMillis);
}

// Without routes nothing can be sent, and without loads what has waited would fall on a few agents at once.
bool PacketBalancer::isStarting(std::uint64_t nowMillis) const
{
    if (m_routesMillis == 0)
        return true;
    if (nowMillis - m_routesMillis > loadsMillis)
        return false;
    const auto& agents = m_agents.agents();
    const auto heard = std::count_if(
        agents.begin(), agents.end(), [](const AgentDirectory::Agent& agent) { return agent.heardMillis.has_value(); });
    return 2 * static_cast<std::size_t>(heard) < agents.size();
}

void PacketBalancer::releaseHeld(std::uint64_t nowMillis)
{
    if (m_held.size() > 0 && !isStarting(nowMillis))
        m_held.release(nowMillis,
            [this, nowMillis](PacketBytes packet, std::uint64_t waited) { take(packet, waited, nowMillis); });
}

void PacketBalancer::tick(std::uint64_t nowMillis, std::uint64_t stalenessMillis)
{
    m_stalenessMillis = stalenessMillis;
    m_pauses.note(nowMillis);
    releaseHeld(nowMillis);
    m_held.expire(nowMillis);
    if (nowMillis - m_subscribedMillis >= subscribeMillis) {
        m_subscribedMillis = nowMillis;
        const auto subscribe = encodeSubscribe(m_domain);
        for (const auto& agent : m_agents.agents())
            m_output.sendToTrunk(agent.trunk, subscribe);
    }
    if (nowMillis - m_agedMillis < cacheAgeMillis)
        return;
    m_agedMillis = nowMillis;
    m_cache.age();
}

void PacketBalancer::note(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer)
{
    FlowDecision decision { verdict, reason, flow, peer, m_membership->revision };
    if (const auto* agent = m_agents.at(peer)) {
        decision.busy = agent->load.busy;
        decision.slots = agent->load.slots;
    }
    m_output.recordDecision(decision);
}

void PacketBalancer::refuse(const PacketHeader& header, bool quiet, FlowReason reason)
{
    const PacketFlow flow = header.flowFromCaller();
    if (quiet) {
        note(FlowVerdict::Declined, reason, flow);
        return;
    }
    m_output.sendToCaller(flow.caller.host, m_codec.reset(flow, header.acknowledged));
    note(FlowVerdict::Refused, reason, flow);
}

void PacketBalancer::receiveFromCaller(PacketBytes packet, std::uint64_t nowMillis)
{
    take(packet, std::nullopt, nowMillis);
}

void PacketBalancer::take(PacketBytes packet, std::optional<std::uint64_t> waitedMillis, std::uint64_t nowMillis)
{
    m_pauses.note(nowMillis);
    const auto header = m_codec.decode(packet);
    if (!header) {
        note(FlowVerdict::Dropped, FlowReason::Malformed, {});
        return;
    }
    const PacketFlow flow = header->flowFromCaller();
    if (header->bounced || (header->opens && (header->acknowledges || header->finishes || header->resets))) {
        note(FlowVerdict::Dropped, FlowReason::Forged, flow);
        return;
    }
    if (header->opens && m_pauses.isWaking(nowMillis)) {
        note(FlowVerdict::Dropped, FlowReason::Paused, flow);
        return;
    }
    if (!waitedMillis && isStarting(nowMillis)) {
        if (!m_held.add(flow, *header, packet, nowMillis))
            note(FlowVerdict::Dropped, FlowReason::RoutesStale, flow);
        return;
    }
    if (header->opens) {
        takeOpening(packet, *header, waitedMillis, nowMillis);
        return;
    }
    if (const auto* placed = m_cache.find(flow))
        m_output.sendToTrunk(placed->agent, encodePacket({}, packet));
    else
        search(packet, *header, nowMillis);
}

// All packets of a flow must choose alike, so the choice depends on its addresses only.
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

void PacketBalancer::takeOpening(
    PacketBytes packet, const PacketHeader& header, std::optional<std::uint64_t> waitedMillis, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    const bool quiet = waitedMillis || header.retransmissions > 0;
    const auto* route = m_membership->route(flow.route.address());
    if (!route) {
        if (m_stalenessMillis <= freshMillis)
            refuse(header, quiet, FlowReason::NoRoute);
        else
            note(FlowVerdict::Dropped, FlowReason::RoutesStale, flow);
        return;
    }
    PacketEnvelope envelope;
    envelope.quiet = quiet;
    envelope.service = serviceOf(*route, flow);
    envelope.goalMillis = bounded<std::uint16_t>(route->latencyGoalMillis);
    envelope.timeoutMillis = bounded<std::uint16_t>(route->timeoutMillis);
    envelope.waitedMillis = bounded<std::uint16_t>(waitedMillis.value_or(HeldPackets::ageOf(header)));
    envelope.priority = bounded<std::uint8_t>(route->priority);
    const auto* placed = m_cache.find(flow);
    if (!placed) {
        send(packet, header, envelope, FlowReason::None, nowMillis);
        return;
    }
    // A copy: the answer to the packet before was late or lost. Its agent has seen to it, if it lives.
    const auto* agent = m_agents.at(placed->agent);
    const bool lives = agent && agent->heardMillis && *agent->heardMillis >= placed->sentMillis;
    if (lives && agent->service == envelope.service) {
        m_output.sendToTrunk(placed->agent, encodePacket(envelope, packet));
        return;
    }
    if (agent)
        envelope.tried.push_back(agent->member);
    send(packet, header, envelope, FlowReason::AgentSilent, nowMillis);
}

void PacketBalancer::send(
    PacketBytes packet, const PacketHeader& header, PacketEnvelope envelope, FlowReason reason, std::uint64_t nowMillis)
{
    const auto* agent = m_agents.choose(envelope.service, envelope.tried, nowMillis);
    if (!agent) {
        refuse(header, envelope.quiet, FlowReason::NoAgent);
        return;
    }
    const PacketEndpoint trunk = agent->trunk;
    const PacketFlow flow = header.flowFromCaller();
    m_output.sendToTrunk(trunk, encodePacket(envelope, packet));
    m_cache.set(flow, { trunk, nowMillis });
    m_agents.addFlow(trunk);
    note(FlowVerdict::Sent, reason, flow, trunk);
}

// Asks those who can hold the flow: the agents of its route, or all when the route is gone.
void PacketBalancer::search(PacketBytes packet, const PacketHeader& header, std::uint64_t)
{
    const PacketFlow flow = header.flowFromCaller();
    PacketEnvelope envelope;
    envelope.kind = EnvelopeKind::Find;
    const auto datagram = encodePacket(envelope, packet);
    const auto* route = m_membership->route(flow.route.address());
    std::vector<std::uint32_t> services;
    if (route) {
        for (const auto& target : route->targets) {
            if (const auto* service = m_membership->serviceNamed(target.service))
                services.push_back(service->id);
        }
    }
    for (const auto& agent : m_agents.agents()) {
        const bool asked = !route || std::find(services.begin(), services.end(), agent.service) != services.end();
        if (asked)
            m_output.sendToTrunk(agent.trunk, datagram);
    }
    note(FlowVerdict::Searched, FlowReason::UnknownFlow, flow);
}

void PacketBalancer::receiveFromAgent(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    if (datagram.empty())
        return;
    switch (kindOf(datagram)) {
    case EnvelopeKind::Load:
        if (const auto load = decodeLoad(datagram))
            m_agents.report(source, *load, nowMillis);
        releaseHeld(nowMillis);
        break;
    case EnvelopeKind::Holder:
        if (const auto flow = decodeHolder(datagram))
            m_cache.set(*flow, { source, 0 }); // it has answered, so copies need no other agent
        break;
    case EnvelopeKind::Declined:
        takeDeclined(source, datagram, nowMillis);
        break;
    default:
        note(FlowVerdict::Dropped, FlowReason::Malformed, {}, source);
    }
}

void PacketBalancer::takeDeclined(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    auto declined = decodePacket(datagram);
    const auto header = declined ? m_codec.decode(declined->packet) : std::nullopt;
    if (!header || !header->opens)
        return;
    PacketEnvelope envelope = declined->envelope;
    envelope.kind = EnvelopeKind::Direct;
    envelope.origin = {};
    if (const auto* agent = m_agents.at(source)) {
        m_agents.report(source, { false, agent->load.slots, agent->load.busy }, nowMillis);
        envelope.tried.push_back(agent->member);
    }
    if (envelope.tried.size() > PacketEnvelope::maximumHops)
        refuse(*header, envelope.quiet, FlowReason::NoAgent);
    else
        send(declined->packet, *header, envelope, FlowReason::OtherService, nowMillis);
}

} // namespace yuccahook::flow
