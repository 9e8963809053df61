#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace yuccahook::control {

/// A Zstandard frame with these bytes, or the bytes themselves when they are few or more than 64 MiB. Route tables name
/// the same few services thousands of times and shrink to about a tenth.
std::string compress(std::string bytes);

/// The bytes given to `compress`; also takes bytes that never were compressed, as in journals of earlier releases.
/// Nothing when a frame is damaged or its content is larger than 64 MiB.
std::optional<std::string> decompress(std::string_view bytes);

} // namespace yuccahook::control
