#pragma once

#include <cstddef>
#include <kj/async-io.h>
#include <string>

namespace yuccahook::request {

/// Reads a body to its end into `text`. Resolves to false, with the rest unread, when it has more bytes than `limit`;
/// fails when it breaks off.
kj::Promise<bool> readBounded(kj::AsyncInputStream& input, std::size_t limit, std::string& text);

} // namespace yuccahook::request
