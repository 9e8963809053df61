#pragma once

#include <cstddef>
#include <kj/async-io.h>
#include <string>

namespace yuccahook::request {

/// Appends a whole body to `text`. Resolves to false, with the rest unread, when the body exceeds `limit` bytes; is
/// rejected when the stream fails before the end of the body. `input` and `text` must outlive the promise.
kj::Promise<bool> readBounded(kj::AsyncInputStream& input, std::size_t limit, std::string& text);

} // namespace yuccahook::request
