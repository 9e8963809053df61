#pragma once

#include "flow/PacketFlow.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace yuccahook::flow {

using PacketBytes = std::span<const std::uint8_t>;

/// What a balancer or an agent reads of a packet. Its data belongs to the two ends of the flow.
struct PacketHeader {
    PacketEndpoint source;
    PacketEndpoint destination;
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool resets = false;
    bool bounced = false; ///< The backend server gave it back.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t retransmissions = 0; ///< Of an opening packet: how many the caller sent before it.
    std::uint32_t dataBytes = 0;

    /// The flow of a packet that a caller wrote.
    PacketFlow flowFromCaller() const { return { source, destination }; }

    /// The flow of a packet that a backend server wrote.
    PacketFlow flowFromBackend() const { return { destination, source }; }
};

/// How packets are laid out on the wire.
class PacketCodec {
public:
    static constexpr std::size_t maximumPacketBytes = 1232;
    using Reset = std::array<std::uint8_t, 32>;

    PacketCodec() = default;
    PacketCodec(const PacketCodec&) = delete;
    PacketCodec& operator=(const PacketCodec&) = delete;
    virtual ~PacketCodec() = default;

    /// Nothing when the bytes are no whole packet.
    virtual std::optional<PacketHeader> decode(PacketBytes bytes) const = 0;

    /// Makes a packet that was given back the one that its sender wrote.
    virtual void restore(std::span<std::uint8_t> packet) const = 0;

    /// A packet that ends a flow at its caller. `sequence` is what the caller acknowledged last.
    virtual Reset reset(const PacketFlow& flow, std::uint32_t sequence) const = 0;
};

} // namespace yuccahook::flow
