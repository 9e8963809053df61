#pragma once

#include "flow/RequestClass.h"

#include <compare>
#include <cstdint>
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
    RequestClass kind {};
    bool mayRefuse = false; ///< A refusal is known to be true, and reaches its caller in time while it waits.
    std::uint64_t displacedMillis = 0; ///< With a later predicted start it leaves the queue if it may be refused.
};

/// The place of a waiting packet; the least is served first.
struct OpeningRank {
    bool late = false;
    std::uint8_t group = 0;
    double cost = 0;
    std::uint64_t millis = 0;

    std::partial_ordering operator<=>(const OpeningRank&) const = default;
};

/// An order in which waiting opening packets are served.
class OpeningOrder {
public:
    virtual ~OpeningOrder() = default;

    virtual OpeningRank rank(const WaitingOpening& opening, std::uint64_t nowMillis) const = 0;
};

/// The order of OverloadPolicy::Goal: those within their latency goal first, then by priority, then by age.
class GoalOrder final : public OpeningOrder {
public:
    OpeningRank rank(const WaitingOpening& opening, std::uint64_t nowMillis) const override
    {
        return { nowMillis > opening.latestStartMillis, opening.priority, 0, opening.firstSentMillis };
    }
};

} // namespace yuccahook::flow
