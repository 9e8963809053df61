#include "flow/PacketAgent.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::flow {

namespace {

constexpr std::uint32_t leastAhead = 2; // two slots may end at once, and a caller may not come
constexpr double firstWorkShare = 0.25; // of the goal, until requests have been measured
constexpr double goalShare = 0.8; // of the goal, for waiting and work; the rest is for work above the mean
constexpr double shortGoalShare = 0.6; // the same once some have waited in vain
constexpr double waitShare = 0.4; // of the route's timeout, so that a refused caller has time for another try
constexpr std::uint64_t leastWaitMillis = 100; // of one that has waited elsewhere
constexpr std::uint64_t longestWaitMillis = HeldPackets::longestMillis;
constexpr std::uint64_t untilCopyMillis = 170; // a caller sends a copy after 200, which may open the flow elsewhere
constexpr std::uint64_t shortMillis = 1000; // after a refusal; about as long as one may wait

} // namespace

// Opening packets that wait for a slot here rather than in the backend server, which serves in order of arrival.

double PacketAgent::workMillis(std::uint32_t goalMillis) const
{
    return std::max(m_workMillis > 0 ? m_workMillis : goalMillis * firstWorkShare, 1.0);
}

// The next flows get their opening packets before a slot is free, as their requests take a while to come.
std::uint32_t PacketAgent::takenAhead() const
{
    const std::uint32_t slots = std::max<std::uint32_t>(m_backend.report()->slots, 1);
    if (m_workMillis <= 0)
        return leastAhead;
    return leastAhead + std::min(slots, static_cast<std::uint32_t>(std::ceil(slots * m_reachMillis / m_workMillis)));
}

bool PacketAgent::hasRoom() const { return m_flows.busy() < m_backend.report()->slots + takenAhead(); }

bool PacketAgent::isShort(std::uint8_t priority, std::uint64_t nowMillis) const
{
    return m_shortMillis != 0 && nowMillis - m_shortMillis < shortMillis && priority >= m_shortPriority;
}

void PacketAgent::noteShort(std::uint8_t priority, std::uint64_t nowMillis)
{
    if (!isShort(UINT8_MAX, nowMillis) || priority < m_shortPriority)
        m_shortPriority = priority;
    m_shortMillis = nowMillis;
}

// False when it would wait in vain. While others have, only those are taken that can be answered within the goal.
bool PacketAgent::waitForSlot(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow, std::uint64_t nowMillis, bool stays)
{
    const double work = workMillis(envelope.goalMillis);
    const double slots = std::max<std::uint32_t>(m_backend.report()->slots, 1);
    const auto within = [](double share, double whole, double less) {
        return static_cast<std::uint64_t>(std::max(share * whole - less, 0.0));
    };
    WaitingOpening opening;
    opening.flow = flow;
    opening.priority = envelope.priority;
    opening.stays = stays;
    opening.sinceMillis = nowMillis - std::min<std::uint64_t>(envelope.waitedMillis, nowMillis);
    opening.inGoalUntilMillis = opening.sinceMillis + within(goalShare, envelope.goalMillis, work);
    const double expected = (double(m_waiting.ahead(opening, nowMillis)) + takenAhead() + 1) * work / slots;
    std::uint64_t longest = longestWaitMillis;
    if (envelope.timeoutMillis != 0) {
        const std::uint64_t share = within(waitShare, envelope.timeoutMillis, 0);
        longest = std::min(longest, std::max<std::uint64_t>(share, envelope.waitedMillis + leastWaitMillis));
    }
    const std::uint64_t limit = opening.sinceMillis
        + (isShort(envelope.priority, nowMillis) ? within(shortGoalShare, envelope.goalMillis, work) : longest);
    if (static_cast<double>(nowMillis) + expected > static_cast<double>(limit)) {
        if (envelope.waitedMillis == 0)
            noteShort(envelope.priority, nowMillis);
        return false;
    }
    opening.endMillis = opening.sinceMillis + (envelope.quiet ? longest : std::min(longest, untilCopyMillis));
    opening.datagram = encodePacket(envelope, packet);
    if (!m_waiting.add(std::move(opening)))
        return false;
    // A copy that came to another agent could open the flow there before a refusal of this one arrives.
    m_output.sendToTrunk(envelope.origin, encodeHolder(flow));
    decide(FlowVerdict::Waits, FlowReason::SlotsTaken, flow, {}, nowMillis - m_backend.heardMillis());
    return true;
}

void PacketAgent::serveWaiting(std::uint64_t nowMillis)
{
    while (m_waiting.size() > 0 && hasRoom()) {
        const auto opening = m_waiting.next(nowMillis);
        const auto read = decodePacket(opening->datagram);
        const auto header = m_codec.decode(read->packet);
        if (const auto reason = obstacle(read->envelope.service, nowMillis))
            passOnOrRefuse(read->envelope, read->packet, *header, *reason, nowMillis);
        else
            accept(read->envelope, read->packet, opening->flow, nowMillis);
    }
}

// A slot that is free elsewhere is better than a place in the queue.
void PacketAgent::shareWaiting(std::uint64_t nowMillis)
{
    while (m_waiting.size() > 0) {
        auto opening = m_waiting.next(nowMillis);
        auto read = decodePacket(opening->datagram);
        read->envelope.waitedMillis = static_cast<std::uint16_t>(nowMillis - opening->sinceMillis);
        const auto* peer = nextPeer(read->envelope, nowMillis);
        const bool isFree
            = peer && AgentDirectory::isHeard(*peer, nowMillis) && peer->load.accepts && peer->load.free() > 0;
        if (!isFree) {
            m_waiting.add(std::move(*opening));
            return;
        }
        passOn(read->envelope, read->packet, opening->flow, FlowReason::SlotsTaken, peer);
    }
}

void PacketAgent::endWaiting(std::uint64_t nowMillis)
{
    if (m_waiting.size() == 0)
        return;
    for (const auto& opening : m_waiting.takeEnded(nowMillis)) {
        const auto read = decodePacket(opening.datagram);
        // From here on a refusal could not be told, so only those stay that will be served.
        PacketEnvelope untold = read->envelope;
        untold.quiet = true;
        untold.waitedMillis = static_cast<std::uint16_t>(nowMillis - opening.sinceMillis);
        if (!read->envelope.quiet && waitForSlot(untold, read->packet, opening.flow, nowMillis, true))
            continue;
        if (!read->envelope.quiet || opening.stays)
            noteShort(opening.priority, nowMillis);
        refuse(read->envelope, *m_codec.decode(read->packet), FlowReason::SlotsTaken, nowMillis);
    }
    const auto* own = m_backend.report() ? m_membership->serviceNamed(m_backend.report()->service) : nullptr;
    const auto reason = own ? obstacle(own->id, nowMillis) : FlowReason::NoBackend;
    if (!reason)
        return;
    for (const auto& opening : m_waiting.popAll()) {
        const auto read = decodePacket(opening.datagram);
        passOnOrRefuse(read->envelope, read->packet, *m_codec.decode(read->packet), *reason, nowMillis);
    }
}

} // namespace yuccahook::flow
