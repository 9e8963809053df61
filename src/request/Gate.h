#pragma once

#include "request/RequestState.h"

#include <chrono>
#include <cstdint>
#include <kj/async-io.h>
#include <kj/memory.h>
#include <string>

namespace yuccahook::request {

using Time = std::chrono::nanoseconds;

/// What a gate may judge a request by.
struct RequestInfo {
    std::string method;
    std::string path;
    std::uint32_t service = 0;
    bool idempotent = true;
    Time arrived {};
    Time deadline {};
    std::uint64_t bodyBytes = 0;
};

/// How a dispatched request ended at the backend server.
enum class DispatchResult : std::uint8_t { Answered, Shed, Failed, Cancelled };

struct Admission;

/// The right to have one request in progress at the backend server; given back when destroyed.
class Slot {
public:
    Slot() = default;
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    virtual ~Slot() noexcept(false) = default;

    /// Reports the end, once; a slot that goes without one was cancelled.
    virtual void finish(DispatchResult) { }

    /// Reports a failed end in place of `finish` and asks for another slot for the same request.
    virtual kj::Promise<Admission> retry(DispatchResult result);

    /// A connection to the backend server that the slot belongs to, once; null for the agent's own.
    virtual kj::Own<kj::AsyncIoStream> takeConnection() { return {}; }
};

/// A gate's answer: a slot, or why there is none.
struct Admission {
    kj::Own<Slot> slot; ///< Null when refused.
    RequestReason reason = RequestReason::None;
    std::chrono::milliseconds retryAfter {}; ///< For refusals; 0 when nothing is known.
};

inline kj::Promise<Admission> Slot::retry(DispatchResult result)
{
    finish(result);
    return Admission { {}, result == DispatchResult::Shed ? RequestReason::ShedByBackend : RequestReason::BackendLost,
        {} };
}

/// Whom the HTTP front asks for a slot before it dispatches a request.
class Gate {
public:
    Gate() = default;
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;
    virtual ~Gate() noexcept(false) = default;

    /// Resolves when the request may be dispatched or is refused. Dropping the promise gives up the place.
    virtual kj::Promise<Admission> admit(const RequestInfo& request) = 0;
};

/// Admits every request at once.
class OpenGate final : public Gate {
public:
    kj::Promise<Admission> admit(const RequestInfo&) override { return Admission { kj::heap<Slot>(), {}, {} }; }
};

} // namespace yuccahook::request
