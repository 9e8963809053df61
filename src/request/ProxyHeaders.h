#pragma once

#include <kj/compat/http.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccahook::request {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// The headers that a proxy forwards: all but hop-by-hop headers, headers named by Connection, Content-Length, and
/// headers that only yuccahook may set.
HeaderList endToEndHeaders(const kj::HttpHeaders& headers);

/// Appends all of `list` to `headers`.
void addHeaders(kj::HttpHeaders& headers, const HeaderList& list);

} // namespace yuccahook::request
