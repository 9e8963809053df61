#pragma once

#include "net/Address.h"
#include "net/HttpMessage.h"

#include <chrono>
#include <optional>

namespace yuccahook::net {

/// Sends one HTTP request and blocks until the whole response is received. Returns null when the address cannot be
/// reached, the response is shorter than its Content-Length or the timeout expires.
std::optional<HttpResponse> sendHttpRequest(
    const Address& address, const HttpRequest& request, std::chrono::milliseconds timeout);

} // namespace yuccahook::net
