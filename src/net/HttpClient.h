#pragma once

#include "net/Address.h"
#include "net/HttpMessage.h"

#include <chrono>
#include <optional>

namespace yuccahook::net {

/// Makes one HTTP request and waits for the whole answer; nothing when the address cannot be reached, the answer is
/// cut short or the time is over.
std::optional<HttpResponse> sendHttpRequest(
    const Address& address, const HttpRequest& request, std::chrono::milliseconds timeout);

} // namespace yuccahook::net
