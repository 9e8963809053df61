#pragma once

#include "request/AbortableStream.h"
#include "request/BackendConnectionPool.h"
#include "request/Claim.h"
#include "request/Gate.h"
#include "request/ProxyHeaders.h"
#include "request/RequestPolicy.h"
#include "request/RequestStateMachine.h"

#include <chrono>
#include <cstdint>
#include <kj/compat/http.h>
#include <kj/refcount.h>
#include <optional>
#include <string>

namespace yuccahook::request {

/// One request of a caller at the HTTP front end, from its receipt to its end.
struct Exchange final : kj::Refcounted {
    kj::HttpMethod method = kj::HttpMethod::GET;
    std::string url;
    HeaderList headers;
    std::string body;
    std::optional<std::string> key; ///< The value of its Idempotency-Key header.
    bool idempotent = true;
    RequestPolicy policy;
    Time arrived {};
    RequestStateMachine machine;
    std::uint64_t attempt = 0; ///< Number of the claim attempt, when `claimed`.
    bool claimed = false; ///< Whether a claim was granted for it.
    AnswerPointer answer; ///< The complete answer of a buffered request, else null.
    std::chrono::milliseconds retryAfter {}; ///< For a refusal; 0 when unknown.
    bool answerBegan = false; ///< The head of the answer was received.
    bool shed = false; ///< The backend server answered with status 503.
    kj::Own<Slot> slot;
    kj::Own<BackendConnectionPool::Connection> connection;
    /// The caller's stream, valid while the caller is served; used for streamed answers only.
    AbortableStream* caller = nullptr;
    kj::Own<kj::AsyncOutputStream> output; ///< Where the body of a streamed answer is written.

    Time deadline() const { return arrived + std::chrono::milliseconds(policy.deadlineMillis); }
};

} // namespace yuccahook::request
