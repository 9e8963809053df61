#pragma once

#include "flow/PacketFlow.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace yuccahook::flow {

/// An opening packet that waits at an agent for a slot of its backend server.
struct WaitingOpening {
    PacketFlow flow;
    std::uint8_t priority = 0; ///< Priority of its route; 0 is the highest.
    std::uint64_t firstSentMillis = 0; ///< When its caller first transmitted it.
    std::uint64_t latestStartMillis = 0; ///< A slot that is free by then still answers it within the latency goal.
    std::uint64_t waitEndMillis = 0; ///< When its wait ends.
    bool refusalTooLate = false; ///< Its caller may have retransmitted it, so a refusal can no longer be sent.
    std::vector<std::uint8_t> datagram; ///< The packet in its envelope.
};

/// The opening packets that wait at an agent. Those that can still be answered within their latency goal are served
/// before those that are late already, so that a late packet makes no other one late. Late packets are served once
/// there is time.
class OpeningQueue {
public:
    static constexpr std::size_t maximumPackets = 512; ///< Several seconds of work at a backend server.

    /// Returns false if the queue is full.
    bool add(WaitingOpening opening);

    bool contains(const PacketFlow& flow) const;

    /// Removes and returns the packet to serve next: one within its goal first, then by priority, then by age. Empty if
    /// none waits.
    std::optional<WaitingOpening> popNext(std::uint64_t nowMillis);

    /// Removes and returns the packets whose wait has ended.
    std::vector<WaitingOpening> popExpired(std::uint64_t nowMillis);

    /// Removes and returns all packets.
    std::vector<WaitingOpening> popAll();

    /// Number of waiting packets that would be served before a new one.
    std::size_t countAhead(const WaitingOpening& opening, std::uint64_t nowMillis) const;

    std::size_t size() const { return m_waiting.size(); }

private:
    std::vector<WaitingOpening> m_waiting;
};

} // namespace yuccahook::flow
