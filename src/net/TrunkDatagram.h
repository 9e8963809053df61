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

/// The kind of a datagram between balancers and agents.
enum class DatagramKind : std::uint8_t { Forward, Reply, Refusal };

/// A datagram of the trunk. After decoding, `payload` points into the decoded bytes.
struct TrunkDatagram {
    DatagramKind kind = DatagramKind::Forward;
    flow::PacketHint hint = flow::PacketHint::None;
    std::uint8_t hops = 0; ///< Number of times that agents forwarded it so far.
    flow::RefusalReason reason = flow::RefusalReason::None;
    std::uint32_t member = 0; ///< In a forward: the addressee. In a reply: the holder of the flow.
    std::uint64_t revision = 0; ///< Membership revision that the sender used.
    flow::FlowKey key;
    flow::Routing routing;
    Address returnAddress; ///< Where the balancer receives replies; unset: the source of the datagram.
    Bytes payload;
};

/// Encodes datagrams into a buffer that it reuses.
class TrunkEncoder {
public:
    /// Returns the encoded datagram, valid until the next call; empty when the payload exceeds `maximumPayloadBytes`.
    Bytes encode(const TrunkDatagram& datagram);

private:
    static constexpr std::size_t wordCount = DatagramSocket::maximumDatagramBytes / sizeof(std::uint64_t);
    std::array<std::uint64_t, wordCount> m_words {};
    std::array<std::uint8_t, DatagramSocket::maximumDatagramBytes> m_encoded {};
};

/// Maximum length of the payload of a trunk datagram, in bytes.
constexpr std::size_t maximumPayloadBytes = 1900;

/// Decodes a datagram from word-aligned bytes; null when it is malformed.
std::optional<TrunkDatagram> decodeTrunkDatagram(Bytes bytes);

} // namespace yuccahook::net

template <> struct yuccahook::kernel::EnumNames<yuccahook::net::DatagramKind> {
    static constexpr std::array<std::string_view, 3> names { "forward", "reply", "refusal" };
};
