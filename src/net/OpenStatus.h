#pragma once

#include <cstdint>

namespace yuccahook::net {

/// An agent's reply to a balancer that opens or resumes a stream.
enum class OpenStatus : std::uint8_t { Accepted, Redirect, Refused };

} // namespace yuccahook::net
