#pragma once

#include "flow/PacketCodec.h"

#include <array>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace yuccahook::flow {

/// The kinds of datagrams between balancers and agents.
enum class EnvelopeKind : std::uint8_t {
    Direct = 1, ///< A packet for the addressed agent.
    Find, ///< A packet of a flow that the addressed agent's backend server may hold without the agent's knowledge.
    Declined, ///< An opening packet that an agent returns to the balancer.
    Holder, ///< The sender holds a flow.
    Load, ///< The sender's load.
    Subscribe, ///< The sender subscribes to the addressee's load reports.
    Returned, ///< A packet of an existing flow that an agent returns to the balancer, as it does not hold the flow.
    Query, ///< A balancer asks an agent which of some flows it holds.
    Reply, ///< An agent's answer to a query.
    Locate, ///< A packet of an existing flow for the flow's locator, which forwards it to the flow's agent.
    Register ///< An agent tells locators which flows it holds.
};

/// The header that balancers and agents put in front of a packet.
struct PacketEnvelope {
    static constexpr std::size_t maximumHops = 3; ///< Agents that may decline an opening packet before the last one.

    EnvelopeKind kind = EnvelopeKind::Direct;
    std::uint32_t service = 0; ///< The service of a new flow; 0 on packets of existing flows.
    std::uint16_t goalMillis = 0; ///< Latency goal of the route's requests; up to `priority`, only with a service.
    std::uint16_t timeoutMillis = 0; ///< Timeout of the route's requests.
    std::uint16_t waitedMillis = 0; ///< Time since the caller first sent the packet, as far as known.
    std::uint8_t priority = 0; ///< Priority of the route; 0 is the highest.
    PacketEndpoint origin; ///< The balancer that received the packet; the datagram's sender if not set.
    std::vector<std::uint32_t> tried; ///< Members that did not accept the packet.
    PacketEndpoint locator; ///< Of a received `Find`: the agent that sent it for `origin`. Not part of the datagram.
    bool suppressReset = false; ///< Another copy may have opened the flow, so a refusal must not reset it.
    /// The homes of the route as a HomeRegions tag; 0 if it has none. Sent as one of the tried members, where releases
    /// that do not know it take it for a member, and keep it in what they forward.
    std::uint32_t homes = 0;

    /// Most members that may be in `tried`.
    std::size_t maximumTried() const { return homes != 0 ? maximumHops - 1 : maximumHops; }
};

/// The load of an agent and its backend server.
struct AgentLoad {
    bool accepts = false; ///< Whether the agent accepts new flows.
    std::uint16_t slots = 0;
    std::uint16_t busy = 0; ///< Flows with a request in progress, and those that wait for a slot.
    std::uint8_t pressure = 0; ///< How scarce the agent's slots are; 0 if they are not, or if it does not tell.
    std::uint16_t serviceMillis = 0; ///< Mean time from a request to its answer; 0 if not known.

    bool operator==(const AgentLoad&) const = default;

    /// Number of free slots; negative if flows wait.
    int free() const { return int { slots } - int { busy }; }
};

/// A flow that a balancer asks for. The acknowledgement tells the answer that opened the flow from those of others.
struct QueriedFlow {
    PacketFlow flow;
    std::uint32_t acknowledged = 0; ///< The caller's last acknowledgement number.

    bool operator==(const QueriedFlow&) const = default;
};

/// What an agent knows of a flow.
enum class FlowHolding : std::uint8_t {
    None, ///< Its backend server does not hold the flow, and cannot hold it later.
    Holds,
    Possible ///< Its backend server may hold the flow; a packet of the flow will tell.
};

/// An agent's answer to a query.
struct FlowReply {
    std::uint64_t revision = 0; ///< Of the agent's membership.
    std::vector<std::pair<PacketFlow, FlowHolding>> flows;
};

/// Most flows in one query; it then fits an unfragmented datagram.
constexpr std::size_t maximumQueriedFlows = 64;

/// Most flows in one registration, for the same reason.
constexpr std::size_t maximumRegisteredFlows = 96;

// Sizes of the datagrams without a packet.
constexpr std::size_t holderBytes = 13;
constexpr std::size_t loadBytes = 6;
constexpr std::size_t extendedLoadBytes = 9; // with pressure and service time
constexpr std::size_t subscribeBytes = 5;

/// An envelope and the packet behind it.
struct EnvelopedPacket {
    PacketEnvelope envelope;
    PacketBytes packet;
};

/// The kind of a datagram that is not empty. Any byte value is possible.
EnvelopeKind kindOf(PacketBytes datagram);

// The decode functions return nothing if the datagram is malformed. They do not check its kind.

std::vector<std::uint8_t> encodePacket(const PacketEnvelope& envelope, PacketBytes packet);

/// The returned packet refers to the bytes of the datagram.
std::optional<EnvelopedPacket> decodePacket(PacketBytes datagram);

std::array<std::uint8_t, holderBytes> encodeHolder(const PacketFlow& flow);
std::optional<PacketFlow> decodeHolder(PacketBytes datagram);

/// Leaves out pressure and service time if both are 0, so that earlier releases can read the report.
std::vector<std::uint8_t> encodeLoad(const AgentLoad& load);
std::optional<AgentLoad> decodeLoad(PacketBytes datagram);

/// `domain` is a hash of the sender's failure domain.
std::array<std::uint8_t, subscribeBytes> encodeSubscribe(std::uint32_t domain);
std::optional<std::uint32_t> decodeSubscribe(PacketBytes datagram);

/// `flows` are `maximumQueriedFlows` at most.
std::vector<std::uint8_t> encodeQuery(const std::vector<QueriedFlow>& flows);
std::optional<std::vector<QueriedFlow>> decodeQuery(PacketBytes datagram);

/// `flows` are `maximumRegisteredFlows` at most. The sender holds them.
std::vector<std::uint8_t> encodeRegister(const std::vector<PacketFlow>& flows);
std::optional<std::vector<PacketFlow>> decodeRegister(PacketBytes datagram);

std::vector<std::uint8_t> encodeReply(const FlowReply& reply);
std::optional<FlowReply> decodeReply(PacketBytes datagram);

} // namespace yuccahook::flow
