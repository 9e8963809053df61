#pragma once

#include <cstdint>

namespace yuccahook::flow {

/// The position of a packet in its flow, as far as the instance that received it from the caller knows.
enum class PacketHint : std::uint8_t { None, Start, Middle, End };

} // namespace yuccahook::flow
