#include "flow/LinkScheduler.h"

#include <algorithm>
#include <xxhash.h>

namespace yuccahook::flow {

namespace {

constexpr double millisPerSecond = 1000;
constexpr std::size_t datagramOverheadBytes = 28; // headers of IP and UDP

} // namespace

LinkScheduler::LinkScheduler(PacketOutput& next, std::uint64_t bytesPerSecond)
    : m_next(next)
    , m_bytesPerMilli(static_cast<double>(bytesPerSecond) / millisPerSecond)
{
}

void LinkScheduler::setEnabled(bool enabled)
{
    m_enabled = enabled && m_bytesPerMilli > 0;
    while (!m_enabled && !m_waiting.empty())
        sendFirst();
}

void LinkScheduler::advance(std::uint64_t nowMillis)
{
    m_nowMillis = static_cast<double>(nowMillis);
    m_flow = 0;
    while (!m_waiting.empty() && hasRoom())
        sendFirst();
}

std::uint64_t LinkScheduler::delayMillis(std::uint64_t bytes) const
{
    if (!m_enabled)
        return 0;
    const double linkMillis = std::max(m_linkFreeMillis - m_nowMillis, 0.0);
    return static_cast<std::uint64_t>(linkMillis + static_cast<double>(m_waitingBytes + bytes) / m_bytesPerMilli);
}

void LinkScheduler::occupy(std::size_t bytes)
{
    if (m_enabled)
        m_linkFreeMillis = std::max(m_linkFreeMillis, m_nowMillis)
            + static_cast<double>(bytes + datagramOverheadBytes) / m_bytesPerMilli;
}

void LinkScheduler::sendFirst()
{
    const Waiting first = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_waitingBytes -= first.datagram.size() + datagramOverheadBytes;
    m_digests.erase(first.digest);
    if (const auto flow = m_flows.find(first.flow); --flow->second == 0)
        m_flows.erase(flow);
    occupy(first.datagram.size());
    m_next.sendToTrunk(first.trunk, first.datagram);
}

void LinkScheduler::sendToTrunk(const PacketEndpoint& trunk, PacketBytes datagram)
{
    const bool follows = m_flow != 0 && m_flows.contains(m_flow);
    const bool mayWait = m_enabled && (datagram.size() >= bulkBytes || follows);
    if (!mayWait || (m_waiting.empty() && hasRoom())) {
        occupy(datagram.size());
        m_next.sendToTrunk(trunk, datagram);
        return;
    }
    const std::uint64_t digest = XXH64(datagram.data(), datagram.size(), trunk.host);
    const bool isFull = delayMillis(datagram.size() + datagramOverheadBytes) > maximumWaitMillis;
    if (isFull || !m_digests.insert(digest).second) {
        FlowDecision decision;
        decision.verdict = FlowVerdict::Dropped;
        decision.reason = isFull ? FlowReason::LinkFull : FlowReason::Retransmitted;
        decision.peer = trunk;
        m_next.recordDecision(decision);
        return;
    }
    m_waitingBytes += datagram.size() + datagramOverheadBytes;
    ++m_flows[m_flow];
    m_waiting.push_back({ trunk, m_flow, digest, { datagram.begin(), datagram.end() } });
}

void LinkScheduler::sendToCaller(std::uint32_t host, PacketBytes packet)
{
    occupy(packet.size());
    m_next.sendToCaller(host, packet);
}

} // namespace yuccahook::flow
