#include "flow/PacketAgent.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t answerTimeoutMillis = 60; // many times what a backend server takes to answer an opening packet
constexpr std::uint64_t startupTimeoutMillis = 2000; // by then the backend server has reported to a new agent
// Limits for the reservation of a slot. A caller that opens a flow does so within a few round trips.
constexpr std::uint64_t minimumReservationMillis = 40;
constexpr std::uint64_t maximumReservationMillis = 150;
constexpr double reservationFactor = 6; // times the mean time from an opening packet to the request
// A peer's queue must be shorter by this many requests per slot to be worth a hop.
constexpr double minimumLoadDifference = 0.2;

} // namespace

// New flows: accepted, queued, forwarded or refused.

// A new agent may not have received the membership or a report of its backend server yet, though it may be healthy.
bool PacketAgent::isStarting(std::uint64_t nowMillis) const
{
    const bool isInformed = m_backend.report() && m_membership->revision != 0;
    return !isInformed && nowMillis - m_startMillis < startupTimeoutMillis;
}

void PacketAgent::releaseStartupPackets(std::uint64_t nowMillis)
{
    if (isStarting(nowMillis))
        return;
    m_startupPackets.release(nowMillis, [this, nowMillis](PacketBytes datagram, std::uint64_t waitedMillis) {
        auto buffered = decodePacket(datagram);
        const auto header = buffered ? m_codec.decode(buffered->packet) : std::nullopt;
        if (!header)
            return;
        buffered->envelope.waitedMillis = static_cast<std::uint16_t>(waitedMillis);
        handleOpening(buffered->envelope, buffered->packet, *header, nowMillis);
    });
}

// Why the backend server must not get a new flow of a service, regardless of its load. Empty if it may.
std::optional<FlowReason> PacketAgent::refusalReason(std::uint32_t service, std::uint64_t nowMillis) const
{
    if (m_isEvacuated)
        return FlowReason::Evacuated;
    if (m_draining)
        return FlowReason::Stopping;
    const auto& report = m_backend.report();
    if (!report)
        return FlowReason::NoBackend;
    if (report->draining)
        return FlowReason::BackendDraining;
    // Once the last report is older, the address may belong to another service.
    const std::uint64_t validMillis = std::min<std::uint64_t>(
        m_limits.announceMillis + m_limits.announceMillis * 3 / 5, m_limits.reuseMillis - m_limits.reuseMillis / 20);
    if (nowMillis - m_backend.lastReportMillis() > validMillis)
        return FlowReason::BackendOverdue;
    const auto* known = m_membership->serviceNamed(report->service);
    if (!known || known->id != service)
        return FlowReason::OtherService;
    if (nowMillis < m_backoffUntilMillis)
        return FlowReason::BackendSilent;
    return std::nullopt;
}

std::optional<FlowReason> PacketAgent::refusalReason(const PacketEnvelope& envelope, std::uint64_t nowMillis) const
{
    // The sender knows that this agent is a home if it knows more regions than this agent.
    if (m_homes.canRead(envelope.homes) && !m_homes.isHome(envelope.homes, m_domainName))
        return FlowReason::NoHome;
    return refusalReason(envelope.service, nowMillis);
}

const AgentDirectory::Agent* PacketAgent::choosePeer(const PacketEnvelope& envelope, std::uint64_t nowMillis)
{
    if (envelope.tried.size() >= envelope.maximumTried())
        return nullptr;
    auto excluded = envelope.tried;
    excluded.push_back(m_member);
    return m_peers.choose(envelope.service, excluded, nowMillis,
        [this, &envelope](const auto& peer) { return m_homes.isHome(envelope.homes, peer.domain); });
}

// Requests per slot. Where both service times are known, requests of a slower backend server than this one count for
// more.
double PacketAgent::waitingPerSlot(const AgentLoad& load) const
{
    const double requests = load.busy * 1.0 / std::max<int>(load.slots, 1);
    const auto ownMillis = m_limits.detectsOutliers ? m_meter.serviceMillis() : 0;
    const double ratio = double(load.serviceMillis) / std::max<double>(ownMillis, 1);
    const bool isKnown = ownMillis != 0 && load.serviceMillis != 0;
    return isKnown ? requests * std::clamp(ratio, 1.0, PlacementPolicy::maximumRatio) : requests;
}

void PacketAgent::handleOpening(
    PacketEnvelope envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    auto* entry = m_flows.find(flow);
    if (entry && entry->incarnation == m_backend.incarnation()) {
        if (m_isEvacuated && entry->state == PacketFlowState::Offered) {
            forwardOffered(*entry, envelope, packet, header, nowMillis);
            return;
        }
        entry->activeMillis = nowMillis;
        m_output.sendToBackend(packet); // a retransmission
        return;
    }
    if (m_waiting.contains(flow))
        return; // a retransmission
    if (const auto reason = refusalReason(envelope, nowMillis)) {
        const auto* peer = choosePeer(envelope, nowMillis);
        const bool peerAccepts = peer && AgentDirectory::hasRecentReport(*peer, nowMillis) && peer->load.accepts;
        const bool mayBuffer = isStarting(nowMillis) && !m_draining && !m_isEvacuated && !peerAccepts;
        PacketEnvelope buffered = envelope;
        buffered.suppressReset = true;
        if (!mayBuffer || !m_startupPackets.add(flow, header, encodePacket(buffered, packet), nowMillis))
            forwardOrRefuse(envelope, packet, header, *reason, nowMillis);
        return;
    }
    if (m_flows.isFull()) {
        forwardOrRefuse(envelope, packet, header, FlowReason::TableFull, nowMillis);
        return;
    }
    if (usesLeastCost() && envelope.tried.empty())
        m_leastCost.recordOffered(RequestClass::of(envelope), nowMillis);
    if (canAccept(nowMillis) && mayStart(RequestClass::of(envelope))) {
        accept(envelope, packet, flow, nowMillis);
        return;
    }
    const auto* peer = choosePeer(envelope, nowMillis);
    const bool peerAccepts = peer && AgentDirectory::hasRecentReport(*peer, nowMillis) && peer->load.accepts;
    const bool isLessLoaded
        = peerAccepts && waitingPerSlot(peer->load) < waitingPerSlot(load(nowMillis)) - minimumLoadDifference;
    if (peerAccepts && (peer->load.free() > 0 || isLessLoaded)) {
        forwardToPeer(envelope, packet, flow, waitReason(nowMillis), peer);
        return;
    }
    if (!waitForSlot(envelope, packet, flow, nowMillis))
        turnAway(envelope, packet, header,
            m_cold.canAccept(nowMillis) ? FlowReason::GoalOutOfReach : FlowReason::ColdLimit, nowMillis);
}

std::uint64_t PacketAgent::reservationMillis() const
{
    if (m_openingToRequestMillis <= 0)
        return maximumReservationMillis;
    const auto scaledMillis = static_cast<std::uint64_t>(reservationFactor * m_openingToRequestMillis);
    return std::clamp(scaledMillis, minimumReservationMillis, maximumReservationMillis);
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
    m_cold.addFlow(nowMillis);
    if (usesLeastCost())
        m_leastCost.recordAccepted(RequestClass::of(envelope), nowMillis);
    m_returnedFlows.erase(flow);
    m_answerDeadlines.emplace_back(nowMillis + answerTimeoutMillis, flow);
    m_reservations.emplace_back(nowMillis + reservationMillis(), flow);
    m_output.sendToBackend(packet);
    if (!envelope.tried.empty())
        m_output.sendToTrunk(envelope.origin, encodeHolder(flow));
    recordDecision(FlowVerdict::Accepted, FlowReason::None, flow, {}, nowMillis - m_backend.lastReportMillis());
}

bool PacketAgent::forwardToPeer(PacketEnvelope envelope, PacketBytes packet, const PacketFlow& flow, FlowReason reason,
    const AgentDirectory::Agent* peer)
{
    if (!peer)
        return false;
    envelope.kind = EnvelopeKind::Direct;
    envelope.tried.push_back(m_member);
    const PacketEndpoint trunk = peer->trunk;
    m_output.sendToTrunk(trunk, encodePacket(envelope, packet));
    m_peers.addFlow(trunk);
    recordDecision(FlowVerdict::Passed, reason, flow, trunk);
    return true;
}

void PacketAgent::refuse(const PacketEnvelope& envelope, const PacketHeader& header, FlowReason reason,
    std::uint64_t nowMillis, const PacketFlow& preferred)
{
    const PacketFlow flow = header.flowFromCaller();
    if (!envelope.suppressReset)
        m_output.sendToCaller(flow.caller.host, m_codec.reset(flow, header.acknowledged));
    const auto verdict = envelope.suppressReset ? FlowVerdict::Declined : FlowVerdict::Refused;
    auto decision = decisionOf(verdict, reason, flow, {}, nowMillis - m_backend.lastReportMillis());
    if (usesLeastCost()) {
        decision.priority = envelope.priority;
        decision.preferred = preferred;
    }
    m_output.recordDecision(decision);
}

void PacketAgent::forwardOrRefuse(const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header,
    FlowReason reason, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    if (forwardToPeer(envelope, packet, flow, reason, choosePeer(envelope, nowMillis)))
        return;
    const auto* ownService = m_backend.report() ? m_membership->serviceNamed(m_backend.report()->service) : nullptr;
    const bool knowsPeers = ownService && ownService->id == envelope.service && m_homes.canRead(envelope.homes);
    if (!knowsPeers && envelope.tried.size() < envelope.maximumTried()) {
        PacketEnvelope declined = envelope;
        declined.kind = EnvelopeKind::Declined;
        m_output.sendToTrunk(envelope.origin, encodePacket(declined, packet));
        recordDecision(FlowVerdict::Passed, reason, flow, envelope.origin);
        return;
    }
    refuse(envelope, header, reason, nowMillis);
}

// A retransmission that the backend server of an evacuated failure domain must not get, since it left the earlier
// packet unanswered. A late answer to that one can still open the flow here, so no copy is reset.
void PacketAgent::forwardOffered(PacketFlowEntry& entry, PacketEnvelope envelope, PacketBytes packet,
    const PacketHeader& header, std::uint64_t nowMillis)
{
    entry.opening.clear();
    m_flows.setBusy(entry, false);
    envelope.suppressReset = true;
    forwardOrRefuse(envelope, packet, header, FlowReason::Evacuated, nowMillis);
}

// The request of an opening packet without an answer has not run, so another agent gets a copy of the packet. If the
// answer arrives late, the caller opens the flow at one of the two agents only.
void PacketAgent::forwardUnanswered(std::uint64_t nowMillis)
{
    while (!m_answerDeadlines.empty() && m_answerDeadlines.front().first <= nowMillis) {
        const PacketFlow flow = m_answerDeadlines.front().second;
        m_answerDeadlines.pop_front();
        auto* entry = m_flows.find(flow);
        if (!entry || entry->state != PacketFlowState::Offered || entry->opening.empty())
            continue;
        const auto opening = std::move(entry->opening);
        entry->opening.clear();
        m_flows.setBusy(*entry, false);
        m_backoffUntilMillis = nowMillis + backoffMillis;
        if (m_limits.detectsOutliers)
            m_meter.recordFailedOpening();
        auto decoded = decodePacket(opening);
        if (!decoded)
            continue;
        decoded->envelope.suppressReset = true;
        if (m_codec.decode(decoded->packet))
            forwardToPeer(decoded->envelope, decoded->packet, flow, FlowReason::BackendSilent,
                choosePeer(decoded->envelope, nowMillis));
    }
}

// The caller may have given up, or opened the flow at another agent. A late request makes the flow busy again.
void PacketAgent::expireReservations(std::uint64_t nowMillis)
{
    while (!m_reservations.empty() && m_reservations.front().first <= nowMillis) {
        auto* entry = m_flows.find(m_reservations.front().second);
        m_reservations.pop_front();
        if (entry && entry->requestMillis == 0)
            m_flows.setBusy(*entry, false);
    }
}

} // namespace yuccahook::flow
