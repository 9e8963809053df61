#pragma once

#include <cstdint>

namespace yuccahook::net {

/// How an agent answered a balancer that opens or resumes a stream.
enum class OpenStatus : std::uint8_t { Accepted, Redirect, Refused };

} // namespace yuccahook::net
