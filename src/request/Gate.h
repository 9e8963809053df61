#pragma once

#include "request/RequestState.h"

#include <chrono>
#include <cstdint>
#include <kj/async-io.h>
#include <kj/memory.h>
#include <string>

namespace yuccahook::request {

/// A time on the clock of the event loop's timer, or a duration.
using Time = std::chrono::nanoseconds;

/// The properties of a request that admission may depend on.
struct RequestInfo {
    std::string method;
    std::string path;
    std::uint32_t service = 0; ///< Service id.
    bool idempotent = true;
    Time arrived {};
    Time deadline {};
    std::uint64_t bodyBytes = 0;
};

/// How a dispatched request ended at the backend server.
enum class DispatchResult : std::uint8_t { Answered, Shed, Failed, Cancelled };

struct AdmissionResult;

/// The right to have one request in progress at a backend server; released on destruction.
class Slot {
public:
    Slot() = default;
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    virtual ~Slot() noexcept(false) = default;

    /// Reports how the request ended; call it at most once. A slot destroyed without it counts as cancelled.
    virtual void finish(DispatchResult) { }

    /// Reports a failure instead of `finish` and requests another slot for the same request.
    virtual kj::Promise<AdmissionResult> retry(DispatchResult result);

    /// Moves out the connection to the backend server that the slot belongs to; null for the agent's own backend server
    /// and on later calls.
    virtual kj::Own<kj::AsyncIoStream> takeConnection() { return {}; }
};

/// The result of admission: a slot, or the reason why there is none.
struct AdmissionResult {
    kj::Own<Slot> slot; ///< Null when refused.
    RequestReason reason = RequestReason::None;
    std::chrono::milliseconds retryAfter {}; ///< Of a refusal; 0 when unknown.
};

inline kj::Promise<AdmissionResult> Slot::retry(DispatchResult result)
{
    finish(result);
    return AdmissionResult { {},
        result == DispatchResult::Shed ? RequestReason::ShedByBackend : RequestReason::BackendLost, {} };
}

/// Admission control as used by the HTTP front end, which needs a slot before it dispatches a request.
class Gate {
public:
    Gate() = default;
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;
    virtual ~Gate() noexcept(false) = default;

    /// Resolves when the request may be dispatched or is refused. Dropping the promise removes it from the queue.
    virtual kj::Promise<AdmissionResult> admit(const RequestInfo& request) = 0;
};

/// Admits every request at once.
class OpenGate final : public Gate {
public:
    kj::Promise<AdmissionResult> admit(const RequestInfo&) override
    {
        return AdmissionResult { kj::heap<Slot>(), {}, {} };
    }
};

} // namespace yuccahook::request
