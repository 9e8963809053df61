#pragma once

#include "flow/PacketCodec.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace yuccahook::flow {

/// What a datagram between balancers and agents is.
enum class EnvelopeKind : std::uint8_t {
    Direct = 1, ///< A packet for this agent.
    Find, ///< A packet of a flow whose agent is not known; for the agent that holds it.
    Declined, ///< An opening packet that an agent gives back to the balancer.
    Holder, ///< The sender holds a flow.
    Load, ///< The sender's load.
    Subscribe ///< The sender wants loads.
};

/// What travels in front of a packet.
struct PacketEnvelope {
    static constexpr std::size_t maximumHops = 3; ///< Agents that an opening packet is offered to before the last.

    EnvelopeKind kind = EnvelopeKind::Direct;
    std::uint32_t service = 0; ///< That a new flow is for; 0 on packets of flows under way.
    std::uint16_t goalMillis = 0; ///< Latency goal of the route's requests; this and what follows with a service only.
    std::uint16_t timeoutMillis = 0; ///< Of the route's requests.
    std::uint16_t waitedMillis = 0; ///< How long ago the caller sent the packet, as far as is known.
    std::uint8_t priority = 0; ///< Of the route; 0 is the highest.
    PacketEndpoint origin; ///< The balancer that took the packet; the datagram's sender when not set.
    std::vector<std::uint32_t> tried; ///< Members that did not take the packet.
    bool quiet = false; ///< Another copy may have opened the flow elsewhere, so a refusal must not reset it.
};

/// Flows that an agent's backend server may still take.
struct AgentLoad {
    bool accepts = false;
    std::uint16_t slots = 0;
    std::uint16_t busy = 0; ///< Flows with a request in progress, those that wait included.

    bool operator==(const AgentLoad&) const = default;
    int free() const { return int { slots } - int { busy }; }
};

/// An envelope and the packet behind it.
struct EnvelopedPacket {
    PacketEnvelope envelope;
    PacketBytes packet;
};

EnvelopeKind kindOf(PacketBytes datagram); ///< Of a datagram that is not empty.

std::vector<std::uint8_t> encodePacket(const PacketEnvelope& envelope, PacketBytes packet);
std::optional<EnvelopedPacket> decodePacket(PacketBytes datagram);

std::array<std::uint8_t, 13> encodeHolder(const PacketFlow& flow);
std::optional<PacketFlow> decodeHolder(PacketBytes datagram);

std::array<std::uint8_t, 6> encodeLoad(const AgentLoad& load);
std::optional<AgentLoad> decodeLoad(PacketBytes datagram);

/// `domain` is a hash of the sender's failure domain.
std::array<std::uint8_t, 5> encodeSubscribe(std::uint32_t domain);
std::optional<std::uint32_t> decodeSubscribe(PacketBytes datagram);

} // namespace yuccahook::flow
