#pragma once

#include <kj/compat/http.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccahook::request {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// The headers that pass a proxy: without hop-by-hop ones, those that Connection names, and those that only
/// yuccahook may set.
HeaderList endToEndHeaders(const kj::HttpHeaders& headers);

void addHeaders(kj::HttpHeaders& headers, const HeaderList& list);

} // namespace yuccahook::request
