#pragma once

#include "flow/FlowKey.h"
#include "flow/PacketHint.h"
#include "flow/RefusalReason.h"

#include <chrono>
#include <cstdint>

namespace yuccahook::flow {

/// Time since an arbitrary start, of a real or a simulated clock.
using Time = std::chrono::nanoseconds;

/// Why the sender of a packet chose its addressee.
enum class RoutingKind : std::uint8_t {
    Owner, ///< The addressee owns the flow's bucket, or was seen to hold the flow.
    Placed, ///< The bucket's owner has placed the flow at the addressee.
    Relay, ///< As `Probe`, but an addressee with a newer revision forwards the packet to that revision's owner.
    Probe ///< The addressee may know the flow, because the bucket is changing its owner.
};

/// What a packet between agents carries besides the membership revision.
struct Routing {
    RoutingKind kind = RoutingKind::Owner;
    std::uint64_t epoch = 0; ///< Epoch of the owner that placed the flow.
    std::uint64_t placement = 0; ///< Identifies one placement of the flow; never reused.
    std::uint32_t declinedBy = 0; ///< The member that does not open this placement, or 0.

    bool operator==(const Routing&) const = default;
};

/// A packet as the flow decisions see it, regardless of the socket that it came from.
struct Packet {
    FlowKey key;
    PacketHint hint = PacketHint::None;
    std::uint32_t length = 0; ///< Payload bytes.
    std::uint64_t revision = 0; ///< The membership revision that the sender's decision was based on.
    std::uint8_t hops = 0; ///< Forwards between agents so far.
    Routing routing {};
};

/// What an agent does with a packet.
enum class Verdict : std::uint8_t {
    Deliver, ///< The flow is open here.
    Open, ///< The packet opens a new flow here.
    Forward, ///< To `Decision::member`, with `Decision::routing`.
    Probe, ///< To each of `AgentFlows::probeTargets()`; the first with `Decision::routing`, the others as `Probe`.
    Drop, ///< A probe for a flow that is not known here.
    Refuse ///< For `Decision::reason`.
};

/// A verdict and its parameters.
struct Decision {
    Verdict verdict = Verdict::Refuse;
    std::uint32_t member = 0;
    RefusalReason reason = RefusalReason::None;
    Routing routing {};
};

} // namespace yuccahook::flow
