#pragma once

#include <cstdint>

namespace yuccahook::flow {

/// What a way in knows of a packet's place in its flow.
enum class PacketHint : std::uint8_t { None, Start, Middle, End };

} // namespace yuccahook::flow
