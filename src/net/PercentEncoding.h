#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace yuccahook::net {

/// Encodes a text as one segment of a path: all bytes but unreserved ones become `%XX`.
std::string percentEncoded(std::string_view text);

/// Decodes `%XX` in a segment of a path. Empty if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> percentDecoded(std::string_view text);

} // namespace yuccahook::net
