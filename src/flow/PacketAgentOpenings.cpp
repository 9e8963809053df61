#include "flow/PacketAgent.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t answerMillis = 60; // many times what a backend server takes to answer an opening packet
constexpr std::uint64_t startMillis = 2000; // until the backend server has reported to a new agent
// A caller that opens a flow does so within a few round trips.
constexpr std::uint64_t leastReservationMillis = 40;
constexpr std::uint64_t longestReservationMillis = 150;
constexpr double reservationReaches = 6; // times the mean from an opening packet to the request
constexpr double leastGain = 0.2; // requests a slot by which a peer's queue must be shorter to be worth a hop

} // namespace

// New flows: taken, passed on or refused.

// A new agent has heard nothing yet of a backend server that may be well.
bool PacketAgent::isStarting(std::uint64_t nowMillis) const
{
    const bool knowsAll = m_backend.report() && m_membership->revision != 0;
    return !knowsAll && nowMillis - m_startMillis < startMillis;
}

void PacketAgent::releaseHeld(std::uint64_t nowMillis)
{
    if (isStarting(nowMillis))
        return;
    m_held.release(nowMillis, [this, nowMillis](PacketBytes datagram, std::uint64_t waited) {
        auto held = decodePacket(datagram);
        const auto header = held ? m_codec.decode(held->packet) : std::nullopt;
        if (!header)
            return;
        held->envelope.waitedMillis = static_cast<std::uint16_t>(waited);
        takeOpening(held->envelope, held->packet, *header, nowMillis);
    });
}

// Why the backend server may take no new flow of a service, whatever its load.
std::optional<FlowReason> PacketAgent::obstacle(std::uint32_t service, std::uint64_t nowMillis) const
{
    if (m_draining)
        return FlowReason::Stopping;
    const auto& report = m_backend.report();
    if (!report)
        return FlowReason::NoBackend;
    if (report->draining)
        return FlowReason::BackendDraining;
    // Past this age the address may be another's.
    const std::uint64_t validMillis = std::min<std::uint64_t>(
        m_limits.announceMillis + m_limits.announceMillis * 3 / 5, m_limits.reuseMillis - m_limits.reuseMillis / 20);
    if (nowMillis - m_backend.heardMillis() > validMillis)
        return FlowReason::BackendOverdue;
    const auto* known = m_membership->serviceNamed(report->service);
    if (!known || known->id != service)
        return FlowReason::OtherService;
    if (nowMillis < m_silentUntilMillis)
        return FlowReason::BackendSilent;
    return std::nullopt;
}

const AgentDirectory::Agent* PacketAgent::nextPeer(const PacketEnvelope& envelope, std::uint64_t nowMillis)
{
    if (envelope.tried.size() >= PacketEnvelope::maximumHops)
        return nullptr;
    auto excluded = envelope.tried;
    excluded.push_back(m_member);
    return m_peers.choose(envelope.service, excluded, nowMillis);
}

void PacketAgent::takeOpening(
    PacketEnvelope envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    auto* entry = m_flows.find(flow);
    if (entry && entry->incarnation == m_backend.incarnation()) {
        entry->activeMillis = nowMillis;
        m_output.sendToBackend(packet); // a copy
        return;
    }
    if (m_waiting.contains(flow))
        return; // a copy
    if (const auto reason = obstacle(envelope.service, nowMillis)) {
        const auto* peer = nextPeer(envelope, nowMillis);
        const bool peerTakes = peer && AgentDirectory::isHeard(*peer, nowMillis) && peer->load.accepts;
        const bool holds = isStarting(nowMillis) && !m_draining && !peerTakes;
        PacketEnvelope held = envelope;
        held.quiet = true;
        if (!holds || !m_held.add(flow, header, encodePacket(held, packet), nowMillis))
            passOnOrRefuse(envelope, packet, header, *reason, nowMillis);
        return;
    }
    if (m_flows.isFull()) {
        passOnOrRefuse(envelope, packet, header, FlowReason::TableFull, nowMillis);
        return;
    }
    if (hasRoom()) {
        accept(envelope, packet, flow, nowMillis);
        return;
    }
    const auto* peer = nextPeer(envelope, nowMillis);
    const bool peerTakes = peer && AgentDirectory::isHeard(*peer, nowMillis) && peer->load.accepts;
    const auto fullness = [](const AgentLoad& of) { return of.busy * 1.0 / std::max<int>(of.slots, 1); };
    const bool isEmptier = peerTakes && fullness(peer->load) < fullness(load(nowMillis)) - leastGain;
    if (peerTakes && (peer->load.free() > 0 || isEmptier)) {
        passOn(envelope, packet, flow, FlowReason::SlotsTaken, peer);
        return;
    }
    if (!waitForSlot(envelope, packet, flow, nowMillis))
        refuse(envelope, header, FlowReason::GoalOutOfReach, nowMillis);
}

std::uint64_t PacketAgent::reservationMillis() const
{
    if (m_reachMillis <= 0)
        return longestReservationMillis;
    const auto reached = static_cast<std::uint64_t>(reservationReaches * m_reachMillis);
    return std::clamp(reached, leastReservationMillis, longestReservationMillis);
}

void PacketAgent::accept(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow, std::uint64_t nowMillis)
{
    auto& entry = m_flows.add(flow);
    entry.incarnation = m_backend.incarnation();
    entry.offeredMillis = nowMillis;
    entry.activeMillis = nowMillis;
    entry.opening = encodePacket(envelope, packet);
    entry.busyBefore = m_flows.busy();
    m_flows.setBusy(entry, true);
    m_notHere.erase(flow);
    m_offered.emplace_back(nowMillis + answerMillis, flow);
    m_reserved.emplace_back(nowMillis + reservationMillis(), flow);
    m_output.sendToBackend(packet);
    if (!envelope.tried.empty())
        m_output.sendToTrunk(envelope.origin, encodeHolder(flow));
    decide(FlowVerdict::Accepted, FlowReason::None, flow, {}, nowMillis - m_backend.heardMillis());
}

bool PacketAgent::passOn(PacketEnvelope envelope, PacketBytes packet, const PacketFlow& flow, FlowReason reason,
    const AgentDirectory::Agent* peer)
{
    if (!peer)
        return false;
    envelope.kind = EnvelopeKind::Direct;
    envelope.tried.push_back(m_member);
    const PacketEndpoint trunk = peer->trunk;
    m_output.sendToTrunk(trunk, encodePacket(envelope, packet));
    m_peers.addFlow(trunk);
    decide(FlowVerdict::Passed, reason, flow, trunk);
    return true;
}

void PacketAgent::refuse(
    const PacketEnvelope& envelope, const PacketHeader& header, FlowReason reason, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    if (!envelope.quiet)
        m_output.sendToCaller(flow.caller.host, m_codec.reset(flow, header.acknowledged));
    const auto verdict = envelope.quiet ? FlowVerdict::Declined : FlowVerdict::Refused;
    decide(verdict, reason, flow, {}, nowMillis - m_backend.heardMillis());
}

void PacketAgent::passOnOrRefuse(const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header,
    FlowReason reason, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    if (passOn(envelope, packet, flow, reason, nextPeer(envelope, nowMillis)))
        return;
    const auto* own = m_backend.report() ? m_membership->serviceNamed(m_backend.report()->service) : nullptr;
    const bool knowsPeers = own && own->id == envelope.service;
    if (!knowsPeers && envelope.tried.size() < PacketEnvelope::maximumHops) {
        PacketEnvelope declined = envelope;
        declined.kind = EnvelopeKind::Declined;
        m_output.sendToTrunk(envelope.origin, encodePacket(declined, packet));
        decide(FlowVerdict::Passed, reason, flow, envelope.origin);
        return;
    }
    refuse(envelope, header, reason, nowMillis);
}

// An opening packet without an answer has not run; another agent gets a copy. Should the answer come late, the caller
// opens the flow at one of the two.
void PacketAgent::passOnUnanswered(std::uint64_t nowMillis)
{
    while (!m_offered.empty() && m_offered.front().first <= nowMillis) {
        const PacketFlow flow = m_offered.front().second;
        m_offered.pop_front();
        auto* entry = m_flows.find(flow);
        if (!entry || entry->state != PacketFlowState::Offered || entry->opening.empty())
            continue;
        const auto opening = std::move(entry->opening);
        entry->opening.clear();
        m_flows.setBusy(*entry, false);
        m_silentUntilMillis = nowMillis + silentMillis;
        auto read = decodePacket(opening);
        if (!read)
            continue;
        read->envelope.quiet = true;
        if (m_codec.decode(read->packet))
            passOn(read->envelope, read->packet, flow, FlowReason::BackendSilent, nextPeer(read->envelope, nowMillis));
    }
}

// The caller may have given up, or opened the flow elsewhere; should it come yet, its request counts again.
void PacketAgent::endReservations(std::uint64_t nowMillis)
{
    while (!m_reserved.empty() && m_reserved.front().first <= nowMillis) {
        auto* entry = m_flows.find(m_reserved.front().second);
        m_reserved.pop_front();
        if (entry && entry->requestMillis == 0)
            m_flows.setBusy(*entry, false);
    }
}

} // namespace yuccahook::flow
