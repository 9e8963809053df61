#pragma once

#include "flow/FlowDecision.h"
#include "flow/PacketCodec.h"

namespace yuccahook::flow {

/// A latency of a backend server that callers experience.
enum class LatencyKind : std::uint8_t {
    Opening, ///< From an opening packet to its answer.
    Request ///< From a request to the first byte of its answer.
};

/// Sends the packets of a balancer or an agent, and records its decisions. The bytes are valid during the call only.
class PacketOutput {
public:
    PacketOutput() = default;
    PacketOutput(const PacketOutput&) = delete;
    PacketOutput& operator=(const PacketOutput&) = delete;
    virtual ~PacketOutput() = default;

    /// Sends a datagram to the trunk address of an agent or a balancer.
    virtual void sendToTrunk(const PacketEndpoint& trunk, PacketBytes datagram) = 0;

    /// Sends a packet to the caller at an IPv4 host.
    virtual void sendToCaller(std::uint32_t host, PacketBytes packet) = 0;
    virtual void sendToBackend(PacketBytes packet) = 0;
    virtual void recordDecision(const FlowDecision& decision) = 0;

    /// Records one latency in milliseconds.
    virtual void recordLatency(LatencyKind, std::uint64_t /*millis*/) { }
};

} // namespace yuccahook::flow
