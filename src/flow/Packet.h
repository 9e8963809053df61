#pragma once

#include "flow/FlowKey.h"
#include "flow/PacketHint.h"
#include "flow/RefusalReason.h"

#include <chrono>
#include <cstdint>

namespace yuccahook::flow {

/// Virtual or real time since an arbitrary start.
using Time = std::chrono::nanoseconds;

/// What the sender of a packet believes about its addressee.
enum class RoutingKind : std::uint8_t {
    Owner, ///< It owns the flow's bucket, or was seen to hold the flow.
    Placed, ///< The bucket's owner has placed the flow there.
    Relay, ///< As `Probe`; one that has a newer revision passes it on to the owner there.
    Probe ///< It may know the flow; the bucket is changing hands.
};

/// What travels with a packet between agents, beside the membership revision.
struct Routing {
    RoutingKind kind = RoutingKind::Owner;
    std::uint64_t epoch = 0; ///< Of the owner that placed the flow.
    std::uint64_t placement = 0; ///< Names one placement of the flow; never reused.
    std::uint32_t declinedBy = 0; ///< The member that will not open this placement, or 0.

    bool operator==(const Routing&) const = default;
};

/// A packet as the decisions see it, whatever socket it came from.
struct Packet {
    FlowKey key;
    PacketHint hint = PacketHint::None;
    std::uint32_t length = 0; ///< Payload bytes.
    std::uint64_t revision = 0; ///< The membership revision that the sender decided on.
    std::uint8_t hops = 0; ///< Forwards between agents so far.
    Routing routing {};
};

/// What an agent does with a packet.
enum class Verdict : std::uint8_t {
    Deliver, ///< The flow is open here.
    Open, ///< A new flow for this agent.
    Forward, ///< To `Decision::member`, with `Decision::routing`.
    Probe, ///< A copy to each of `AgentFlows::probeTargets()`: the first with `Decision::routing`, the others as
           ///< `Probe`.
    Drop, ///< A probe for a flow that is not known here.
    Refuse
};

/// A verdict with what it needs.
struct Decision {
    Verdict verdict = Verdict::Refuse;
    std::uint32_t member = 0;
    RefusalReason reason = RefusalReason::None;
    Routing routing {};
};

} // namespace yuccahook::flow
