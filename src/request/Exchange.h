#pragma once

#include "request/Claim.h"
#include "request/CuttableStream.h"
#include "request/Gate.h"
#include "request/HeaderCopy.h"
#include "request/RequestMachine.h"
#include "request/RequestPolicy.h"
#include "request/Upstream.h"

#include <chrono>
#include <cstdint>
#include <kj/compat/http.h>
#include <kj/refcount.h>
#include <optional>
#include <string>

namespace yuccahook::request {

/// One request of a caller at the HTTP front, from its receipt to its end.
struct Exchange final : kj::Refcounted {
    kj::HttpMethod method = kj::HttpMethod::GET;
    std::string url;
    HeaderList headers;
    std::string body;
    std::optional<std::string> key; ///< Its Idempotency-Key.
    bool idempotent = true;
    RequestPolicy policy;
    Time arrived {};
    RequestMachine machine;
    std::uint64_t attempt = 0; ///< Of its claim, when it has one.
    bool claimed = false;
    AnswerPointer answer; ///< Of a buffered one: whole.
    std::chrono::milliseconds retryAfter {};
    bool answerBegan = false;
    bool shed = false; ///< The backend server answered that it is overloaded.
    kj::Own<Slot> slot;
    kj::Own<Upstream::Connection> connection;
    CuttableStream* caller = nullptr; ///< Of a streamed one; valid while its promise is held.
    kj::Own<kj::AsyncOutputStream> output; ///< The body of its answer.

    Time deadline() const { return arrived + std::chrono::milliseconds(policy.deadlineMillis); }
};

} // namespace yuccahook::request
