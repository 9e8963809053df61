#pragma once

#include "flow/FlowDecision.h"
#include "flow/PacketCodec.h"

namespace yuccahook::flow {

/// What callers wait for at a backend server.
enum class LatencyKind : std::uint8_t {
    Opening, ///< From an opening packet to its answer.
    Request ///< From a request to the first byte of its answer.
};

/// Where packets go that a balancer or an agent sends on. The bytes are valid during the call only.
class PacketOutput {
public:
    PacketOutput() = default;
    PacketOutput(const PacketOutput&) = delete;
    PacketOutput& operator=(const PacketOutput&) = delete;
    virtual ~PacketOutput() = default;

    /// A datagram to the trunk of an agent or a balancer.
    virtual void sendToTrunk(const PacketEndpoint& trunk, PacketBytes datagram) = 0;
    virtual void sendToCaller(std::uint32_t host, PacketBytes packet) = 0;
    virtual void sendToBackend(PacketBytes packet) = 0;
    virtual void recordDecision(const FlowDecision& decision) = 0;

    /// How long something took that callers wait for.
    virtual void recordLatency(LatencyKind, std::uint64_t /*millis*/) { }
};

} // namespace yuccahook::flow
