#pragma once

#include "request/RequestState.h"

#include <cstdint>
#include <string>

namespace yuccahook::request {

/// The HTTP status code and reason phrase for a request without an answer of the backend server.
struct HttpStatus {
    std::uint32_t code = 0;
    const char* text = "";
};

/// The status for a reason; 503 for all reasons that are temporary refusals.
HttpStatus statusOf(RequestReason reason);

/// The JSON body with the names of outcome and reason, ending with a newline.
std::string outcomeBody(Outcome outcome, RequestReason reason);

} // namespace yuccahook::request
