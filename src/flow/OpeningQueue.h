#pragma once

#include "flow/PacketFlow.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace yuccahook::flow {

/// An opening packet that waits at an agent for a slot of its backend server.
struct WaitingOpening {
    PacketFlow flow;
    std::uint8_t priority = 0; ///< Of its route; 0 is the highest.
    std::uint64_t sinceMillis = 0; ///< When its caller sent it.
    std::uint64_t inGoalUntilMillis = 0; ///< Until then a slot still answers it within the latency goal.
    std::uint64_t endMillis = 0; ///< How long it may wait.
    bool stays = false; ///< Past the time at which a refusal could be told.
    std::vector<std::uint8_t> datagram; ///< The packet in its envelope.
};

/// The opening packets that wait at an agent. Those that can still be answered within their goal go before those that
/// are late already: one that is late costs no other its goal, and is served once there is time.
class OpeningQueue {
public:
    static constexpr std::size_t maximumPackets = 512; ///< Several seconds of work at a backend server.

    /// False when too many wait.
    bool add(WaitingOpening opening);

    bool contains(const PacketFlow& flow) const;

    /// Takes out the one to serve now: by goal, then priority, then time; nothing when none waits.
    std::optional<WaitingOpening> next(std::uint64_t nowMillis);

    /// Takes out those whose wait has ended.
    std::vector<WaitingOpening> takeEnded(std::uint64_t nowMillis);

    /// Takes out all.
    std::vector<WaitingOpening> popAll();

    /// How many would be served before a new one.
    std::size_t ahead(const WaitingOpening& opening, std::uint64_t nowMillis) const;

    std::size_t size() const { return m_waiting.size(); }

private:
    std::vector<WaitingOpening> m_waiting;
};

} // namespace yuccahook::flow
