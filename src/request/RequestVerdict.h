#pragma once

#include "request/RequestState.h"

#include <cstdint>
#include <string>

namespace yuccahook::request {

/// The HTTP status and its text for a request that gets no answer of the backend server.
struct ReasonStatus {
    std::uint32_t code = 0;
    const char* text = "";
};

ReasonStatus statusOf(RequestReason reason);

/// The JSON body that names outcome and reason.
std::string verdictBody(Outcome outcome, RequestReason reason);

} // namespace yuccahook::request
