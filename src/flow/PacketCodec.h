#pragma once

#include "flow/PacketFlow.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace yuccahook::flow {

using PacketBytes = std::span<const std::uint8_t>;

/// The fields of a packet that balancers and agents read. Its data concerns only the two ends of the flow.
struct PacketHeader {
    PacketEndpoint source;
    PacketEndpoint destination;
    bool opens = false;
    bool acknowledges = false;
    bool finishes = false;
    bool resets = false;
    bool bounced = false; ///< The backend server returned the packet.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t retransmissions = 0; ///< Of an opening packet: how many times the caller has sent it before.
    std::uint32_t dataBytes = 0;

    /// The flow of a packet that a caller wrote.
    PacketFlow flowFromCaller() const { return { source, destination }; }

    /// The flow of a packet that a backend server wrote.
    PacketFlow flowFromBackend() const { return { destination, source }; }
};

/// Reads and writes packets in their wire format.
class PacketCodec {
public:
    static constexpr std::size_t maximumPacketBytes = 1232;
    /// Data of a full-sized packet. A message goes on after such a packet, and ends with a shorter one.
    static constexpr std::size_t fullDataBytes = 1200;
    using Reset = std::array<std::uint8_t, 32>;

    PacketCodec() = default;
    PacketCodec(const PacketCodec&) = delete;
    PacketCodec& operator=(const PacketCodec&) = delete;
    virtual ~PacketCodec() = default;

    /// Empty if the bytes are not a complete packet.
    virtual std::optional<PacketHeader> decode(PacketBytes bytes) const = 0;

    /// Turns a packet that was returned into the packet that its sender wrote.
    virtual void restore(std::span<std::uint8_t> packet) const = 0;

    /// Returns a packet that resets a flow at its caller. `sequence` is the caller's last acknowledgement number.
    virtual Reset reset(const PacketFlow& flow, std::uint32_t sequence) const = 0;
};

} // namespace yuccahook::flow
