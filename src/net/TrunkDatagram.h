#pragma once

#include "flow/FlowKey.h"
#include "flow/Packet.h"
#include "flow/PacketHint.h"
#include "flow/RefusalReason.h"
#include "kernel/EnumNames.h"
#include "net/DatagramSocket.h"

#include <array>
#include <cstdint>
#include <optional>

namespace yuccahook::net {

/// What a datagram between balancers and agents says.
enum class DatagramKind : std::uint8_t { Forward, Reply, Refusal };

/// A datagram of the trunk. `payload` points into the buffer that was decoded.
struct TrunkDatagram {
    DatagramKind kind = DatagramKind::Forward;
    flow::PacketHint hint = flow::PacketHint::None;
    std::uint8_t hops = 0; ///< Forwards between agents so far.
    flow::RefusalReason reason = flow::RefusalReason::None;
    std::uint32_t member = 0; ///< Whom a forward is for; who holds the flow in a reply.
    std::uint64_t revision = 0;
    flow::FlowKey key;
    flow::Routing routing;
    Address returnAddress; ///< Where the balancer takes replies; unset: the datagram's source.
    Bytes payload;
};

/// Reusable memory for one encoded datagram.
class TrunkEncoder {
public:
    /// The encoded form, valid until the next call; empty when the payload is too long.
    Bytes encode(const TrunkDatagram& datagram);

private:
    static constexpr std::size_t wordCount = DatagramSocket::maximumDatagramBytes / sizeof(std::uint64_t);
    std::array<std::uint64_t, wordCount> m_words {};
    std::array<std::uint8_t, DatagramSocket::maximumDatagramBytes> m_encoded {};
};

/// Longest payload that one trunk datagram carries, in bytes.
constexpr std::size_t maximumPayloadBytes = 1900;

/// Reads a datagram from word-aligned bytes; nothing when it is malformed.
std::optional<TrunkDatagram> decodeTrunkDatagram(Bytes bytes);

} // namespace yuccahook::net

template <> struct yuccahook::kernel::EnumNames<yuccahook::net::DatagramKind> {
    static constexpr std::array<std::string_view, 3> names { "forward", "reply", "refusal" };
};
