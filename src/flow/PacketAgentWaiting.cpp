#include "flow/PacketAgent.h"
#include "flow/PeerByPressure.h"
#include "flow/WaitLimits.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::flow {

namespace {

// Two slots may become free at once, and a caller may send no request.
constexpr std::uint32_t minimumOvercommittedSlots = 2;
constexpr double initialServiceTimeShare = 0.25; // of the latency goal, until requests have been measured
constexpr double minimumUsableShare = 0.5; // of the slots
constexpr double longShare = 0.3; // of the latency goal of the most urgent requests
// Of the latency goal. A packet with a longer predicted wait goes to a peer that serves less costly ones, if there is
// one.
constexpr double earlyForwardShare = 0.3;

} // namespace

// Opening packets that wait for a slot here rather than at the backend server, which serves in order of arrival.

double PacketAgent::expectedServiceTimeMillis(std::uint32_t goalMillis) const
{
    return std::max(m_serviceTimeMillis > 0 ? m_serviceTimeMillis : goalMillis * initialServiceTimeShare, 1.0);
}

// Flows that are accepted before a slot is free, because their requests arrive some time after their opening packets.
std::uint32_t PacketAgent::overcommittedSlots() const
{
    const std::uint32_t slots = std::max<std::uint32_t>(m_backend.report()->slots, 1);
    if (usesLeastCost()) {
        // A more urgent one that arrives later has to wait for each of them, so there are no more than necessary.
        const double workMillis = m_leastCost.workOfAny({}).meanMillis;
        return std::clamp<std::uint32_t>(
            static_cast<std::uint32_t>(std::ceil(slots * m_openingToRequestMillis / workMillis)), 1, slots);
    }
    if (m_serviceTimeMillis <= 0)
        return minimumOvercommittedSlots;
    return minimumOvercommittedSlots
        + std::min(
            slots, static_cast<std::uint32_t>(std::ceil(slots * m_openingToRequestMillis / m_serviceTimeMillis)));
}

bool PacketAgent::canAccept(std::uint64_t nowMillis) const
{
    return m_flows.busy() < m_backend.report()->slots + overcommittedSlots() && m_cold.canAccept(nowMillis);
}

// Why an opening packet is not accepted at once.
FlowReason PacketAgent::waitReason(std::uint64_t nowMillis) const
{
    return m_cold.canAccept(nowMillis) ? FlowReason::SlotsTaken : FlowReason::ColdLimit;
}

// The slots that work is expected to leave in the usual time: those held for far longer than expected may be so for as
// long again.
double PacketAgent::usableSlots(std::uint64_t nowMillis) const
{
    const double slots = std::max<std::uint32_t>(m_backend.report()->slots, 1);
    return std::max(slots - m_running.overdueSlots(nowMillis), slots * minimumUsableShare);
}

// Requests with so much work that a more urgent one behind them would miss its goal get a part of the slots only.
bool PacketAgent::mayStart(const RequestClass& kind) const
{
    if (!usesLeastCost())
        return true;
    const double longMillis = longShare * m_leastCost.urgentGoalMillis();
    const std::uint32_t slots = m_backend.report()->slots;
    return longMillis <= 0 || m_leastCost.work(kind).meanMillis <= longMillis
        || m_running.countLonger(longMillis) < std::max<std::uint32_t>(slots / 2, 1);
}

// Slot time of a request that is not the subject of a decision, in milliseconds.
double PacketAgent::meanWorkMillis(const RequestClass& kind) const
{
    return usesLeastCost() ? m_leastCost.work(kind).meanMillis : expectedServiceTimeMillis(kind.goalMillis);
}

double PacketAgent::predictedWaitMillis(const WaitingOpening& opening, std::uint64_t nowMillis) const
{
    const double slots = std::max<std::uint32_t>(m_backend.report()->slots, 1);
    const double serviceTimeMillis = expectedServiceTimeMillis(opening.kind.goalMillis);
    if (!usesLeastCost())
        return (double(m_waiting.countAhead(opening, nowMillis)) + overcommittedSlots() + 1) * serviceTimeMillis
            / slots;
    const double usable = usableSlots(nowMillis);
    const double aheadMillis = m_waiting.workAheadMillis(
        opening, nowMillis, [this](const RequestClass& kind) { return meanWorkMillis(kind); });
    return (aheadMillis + (overcommittedSlots() + 1) * m_leastCost.workOfAny(opening.kind).meanMillis) / usable;
}

// Queues or forwards an opening packet. Returns false if its slot would come too late.
bool PacketAgent::waitForSlot(const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow,
    std::uint64_t nowMillis, bool refusalTooLate)
{
    const auto kind = RequestClass::of(envelope);
    const auto limits = usesLeastCost()
        ? leastCostWaitLimits(envelope, m_leastCost.work(kind), m_overload, nowMillis)
        : goalWaitLimits(envelope, expectedServiceTimeMillis(envelope.goalMillis), m_overload, nowMillis);
    WaitingOpening opening;
    opening.flow = flow;
    opening.priority = envelope.priority;
    opening.kind = kind;
    opening.refusalTooLate = refusalTooLate;
    opening.mayRefuse = !refusalTooLate && !envelope.suppressReset;
    opening.firstSentMillis = limits.firstSentMillis;
    opening.latestStartMillis = limits.latestStartMillis;
    opening.displacedMillis = limits.predictedMillis;
    const std::size_t ahead = m_waiting.countAhead(opening, nowMillis);
    const double expectedMillis
        = std::max(predictedWaitMillis(opening, nowMillis), double(m_cold.delayMillis(ahead, nowMillis)));
    if (static_cast<double>(nowMillis) + expectedMillis > static_cast<double>(limits.predictedMillis)) {
        if (envelope.waitedMillis == 0)
            m_overload.add(envelope.priority, nowMillis);
        return false;
    }
    const bool isNew = envelope.waitedMillis == 0 && envelope.tried.empty();
    if (isNew && expectedMillis > earlyForwardShare * envelope.goalMillis
        && forwardByPressure(envelope, packet, flow, FlowReason::SlotsTaken, nowMillis))
        return true;
    opening.waitEndMillis = limits.endMillis;
    opening.datagram = encodePacket(envelope, packet);
    if (!m_waiting.add(std::move(opening)))
        return false;
    // Directs retransmissions to this agent. At another one they could open the flow before a refusal arrives.
    m_output.sendToTrunk(envelope.origin, encodeHolder(flow));
    recordDecision(FlowVerdict::Waits, waitReason(nowMillis), flow, {}, nowMillis - m_backend.lastReportMillis());
    displaceWaiting(flow, nowMillis);
    return true;
}

// Turns away the packets that lost their place in time to a more costly one.
void PacketAgent::displaceWaiting(const PacketFlow& preferred, std::uint64_t nowMillis)
{
    if (!usesLeastCost())
        return;
    const double usable = usableSlots(nowMillis);
    const double headMillis = (overcommittedSlots() + 1) * m_leastCost.workOfAny({}).meanMillis / usable;
    const auto displaced = m_waiting.popDisplaced(
        nowMillis, usable, headMillis, [this](const RequestClass& kind) { return meanWorkMillis(kind); });
    for (const auto& opening : displaced) {
        auto decoded = decodePacket(opening.datagram);
        decoded->envelope.waitedMillis = static_cast<std::uint16_t>(nowMillis - opening.firstSentMillis);
        m_overload.add(opening.priority, nowMillis);
        turnAway(decoded->envelope, decoded->packet, *m_codec.decode(decoded->packet), FlowReason::Displaced, nowMillis,
            opening.flow == preferred ? PacketFlow {} : preferred);
    }
}

// Forwards an opening packet to a peer that serves less costly ones.
bool PacketAgent::forwardByPressure(const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow,
    FlowReason reason, std::uint64_t nowMillis)
{
    if (!usesLeastCost() || envelope.tried.size() >= PacketEnvelope::maximumHops)
        return false;
    auto excluded = envelope.tried;
    excluded.push_back(m_member);
    const std::uint8_t level = m_leastCost.level(RequestClass::of(envelope));
    return forwardToPeer(envelope, packet, flow, reason,
        choosePeerByPressure(m_peers, envelope.service, excluded, level, hashOf(flow), nowMillis));
}

// Forwards an opening packet that gets no slot here in time, or refuses it.
void PacketAgent::turnAway(const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header,
    FlowReason reason, std::uint64_t nowMillis, const PacketFlow& preferred)
{
    if (!forwardByPressure(envelope, packet, header.flowFromCaller(), reason, nowMillis))
        refuse(envelope, header, reason, nowMillis, preferred);
}

void PacketAgent::acceptWaiting(std::uint64_t nowMillis)
{
    while (m_waiting.size() > 0 && canAccept(nowMillis)) {
        const auto opening = m_waiting.popNext(nowMillis, [this](const RequestClass& kind) { return mayStart(kind); });
        if (!opening)
            return;
        auto decoded = decodePacket(opening->datagram);
        const auto header = m_codec.decode(decoded->packet);
        const auto reason = refusalReason(decoded->envelope, nowMillis);
        if (reason)
            decoded->envelope.waitedMillis = static_cast<std::uint16_t>(nowMillis - opening->firstSentMillis);
        if (reason)
            forwardOrRefuse(decoded->envelope, decoded->packet, *header, *reason, nowMillis);
        else
            accept(decoded->envelope, decoded->packet, opening->flow, nowMillis);
    }
}

// Forwards waiting opening packets to agents with a free slot.
void PacketAgent::forwardWaiting(std::uint64_t nowMillis)
{
    while (m_waiting.size() > 0) {
        auto opening = m_waiting.popNext(nowMillis);
        auto decoded = decodePacket(opening->datagram);
        decoded->envelope.waitedMillis = static_cast<std::uint16_t>(nowMillis - opening->firstSentMillis);
        const auto* peer = choosePeer(decoded->envelope, nowMillis);
        const bool hasFreeSlot
            = peer && AgentDirectory::hasRecentReport(*peer, nowMillis) && peer->load.accepts && peer->load.free() > 0;
        if (!hasFreeSlot) {
            m_waiting.add(std::move(*opening));
            return;
        }
        forwardToPeer(decoded->envelope, decoded->packet, opening->flow, waitReason(nowMillis), peer);
    }
}

void PacketAgent::expireWaiting(std::uint64_t nowMillis)
{
    if (m_waiting.size() == 0)
        return;
    for (const auto& opening : m_waiting.popExpired(nowMillis)) {
        const auto decoded = decodePacket(opening.datagram);
        // The caller is about to retransmit, and a refusal could then reset a flow that is open at another agent. So
        // only those packets keep waiting that will be served.
        PacketEnvelope lateEnvelope = decoded->envelope;
        lateEnvelope.suppressReset = true;
        lateEnvelope.waitedMillis = static_cast<std::uint16_t>(nowMillis - opening.firstSentMillis);
        if (!decoded->envelope.suppressReset
            && waitForSlot(lateEnvelope, decoded->packet, opening.flow, nowMillis, true))
            continue;
        if (!decoded->envelope.suppressReset || opening.refusalTooLate)
            m_overload.add(opening.priority, nowMillis);
        refuse(decoded->envelope, *m_codec.decode(decoded->packet), waitReason(nowMillis), nowMillis);
    }
    const auto* ownService = m_backend.report() ? m_membership->serviceNamed(m_backend.report()->service) : nullptr;
    const auto reason = ownService ? refusalReason(ownService->id, nowMillis) : FlowReason::NoBackend;
    if (!reason)
        return;
    for (const auto& opening : m_waiting.popAll()) {
        auto decoded = decodePacket(opening.datagram);
        // Otherwise the next agent could refuse the flow after the caller has retransmitted its packet.
        decoded->envelope.waitedMillis = static_cast<std::uint16_t>(nowMillis - opening.firstSentMillis);
        forwardOrRefuse(decoded->envelope, decoded->packet, *m_codec.decode(decoded->packet), *reason, nowMillis);
    }
}

} // namespace yuccahook::flow
