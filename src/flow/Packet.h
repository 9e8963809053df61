#pragma once

#include "flow/FlowKey.h"
#include "flow/PacketHint.h"
#include "flow/RefusalReason.h"

#include <chrono>
#include <cstdint>

namespace yuccahook::flow {

/// Virtual or real time since an arbitrary start.
using Time = std::chrono::nanoseconds;

/// A packet as the decisions see it, whatever socket it came from.
struct Packet {
    FlowKey key;
    PacketHint hint = PacketHint::None;
    std::uint32_t length = 0; ///< Payload bytes.
    std::uint64_t revision = 0; ///< The membership revision that the sender decided on.
    std::uint8_t hops = 0; ///< Forwards between agents so far.
};

/// What an agent does with a packet.
enum class Verdict : std::uint8_t {
    Deliver, ///< The flow is open here.
    Open, ///< A new flow for this agent.
    Forward, ///< To `Decision::member`.
    Refuse
};

/// A verdict with what it needs.
struct Decision {
    Verdict verdict = Verdict::Refuse;
    std::uint32_t member = 0;
    RefusalReason reason = RefusalReason::None;
};

} // namespace yuccahook::flow
