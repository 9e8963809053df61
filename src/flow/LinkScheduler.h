#pragma once

#include "flow/PacketOutput.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace yuccahook::flow {

/// Schedules what a balancer sends over a link with little capacity. Full-sized packets, which belong to long messages,
/// wait here until the link has room, so that the short packets of other flows do not queue behind them. The packets of
/// one flow keep their order. A copy that a caller retransmits while the first one waits is dropped.
///
/// Passes everything on at once while it is disabled. Has no clock; not thread-safe.
class LinkScheduler final : public PacketOutput {
public:
    static constexpr std::size_t bulkBytes = PacketCodec::fullDataBytes; ///< Datagrams of at least this size wait.
    static constexpr std::uint64_t intervalMillis = 10; ///< Call `advance` at least this often while packets wait.

    /// `bytesPerSecond` is the capacity of the link; 0 if it is not known, and nothing then waits.
    LinkScheduler(PacketOutput& next, std::uint64_t bytesPerSecond);

    /// Packets that wait are sent at once when it is disabled.
    void setEnabled(bool enabled);

    /// Sets the current time, and sends the waiting packets for which the link has room by now.
    void advance(std::uint64_t nowMillis);

    /// Names the flow of the packets that are sent until the next call of `advance`, by a hash that is not 0.
    void setFlow(std::uint64_t flow) { m_flow = flow; }

    /// Whether the capacity of the link is known and long messages wait for it.
    bool isEnabled() const { return m_enabled; }

    /// Number of packets that wait.
    std::size_t waiting() const { return m_waiting.size(); }

    /// How long a message of that many bytes would take, from its first packet on, behind those that wait.
    std::uint64_t delayMillis(std::uint64_t bytes) const;

    void sendToTrunk(const PacketEndpoint& trunk, PacketBytes datagram) override;
    void sendToCaller(std::uint32_t host, PacketBytes packet) override;
    void sendToBackend(PacketBytes packet) override { m_next.sendToBackend(packet); }
    void recordDecision(const FlowDecision& decision) override { m_next.recordDecision(decision); }
    void recordLatency(LatencyKind kind, std::uint64_t millis) override { m_next.recordLatency(kind, millis); }

private:
    struct Waiting {
        PacketEndpoint trunk;
        std::uint64_t flow = 0;
        std::uint64_t digest = 0;
        std::vector<std::uint8_t> datagram;
    };

    bool hasRoom() const { return m_linkFreeMillis <= m_nowMillis + linkQueueMillis; }
    void occupy(std::size_t bytes);
    void sendFirst();

    /// How long packets may wait in the link itself: two full-sized ones at 2 Mbit/s, so that it is never idle.
    static constexpr double linkQueueMillis = 10;
    /// Longest wait. A caller has retransmitted its packet twice by then.
    static constexpr std::uint64_t maximumWaitMillis = 1000;

    PacketOutput& m_next;
    const double m_bytesPerMilli;
    bool m_enabled = false;
    double m_nowMillis = 0;
    std::uint64_t m_flow = 0; // of the packets that are sent now; 0 if not known
    double m_linkFreeMillis = 0; // when the link will have sent all packets that it was given
    std::deque<Waiting> m_waiting; // in order of arrival
    std::unordered_set<std::uint64_t> m_digests; // of the waiting datagrams
    std::unordered_map<std::uint64_t, std::size_t> m_flows; // number of waiting datagrams of each flow
    std::uint64_t m_waitingBytes = 0;
};

} // namespace yuccahook::flow
