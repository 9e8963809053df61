#pragma once

#include "kernel/EnumNames.h"
#include "request/RequestState.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace yuccahook::request {

/// A time on the clock of the code that drives admission, or a duration.
using AdmissionTime = std::chrono::nanoseconds;

/// A request as described to admission control.
struct AdmissionRequest {
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    AdmissionTime deadline = AdmissionTime::max(); ///< On the clock that AgentAdmission is called with.
    std::uint8_t priority = 0; ///< Lower numbers are served first.
    bool idempotent = false;
    bool mayHaveRun = false; ///< An earlier attempt may have run, so it must never be refused as "not run".
    bool offered = false; ///< By another agent: runs at once or is refused, is never queued or offered again.
};

/// How an attempt at the backend server ended.
enum class AttemptOutcome : std::uint8_t {
    Answered,
    NotRun, ///< Known not to have started, for example because the connection was refused.
    Failed ///< May have run.
};

/// What the code that drives AgentAdmission must do with a request.
enum class AdmissionActionKind : std::uint8_t {
    Dispatch, ///< Send it to this agent's own backend server.
    Offer, ///< Offer it to `peer`; report the reply with handleOfferReply.
    Hedge, ///< Ask `peer` to run a second copy; the first answer is used.
    Refuse, ///< Reply "not run" with the reason and Retry-After.
    Fail, ///< Its attempt failed after it may have run: reply "unknown".
    Cancel ///< Cancel the attempt at the backend server, because its answer is no longer needed.
};

/// One step that AgentAdmission requests for the request `id`.
struct AdmissionAction {
    AdmissionActionKind kind;
    std::uint64_t id;
    RequestReason reason = RequestReason::None;
    std::uint32_t peer = 0; ///< Member id, of an offer or hedge.
    AdmissionTime retryAfter {}; ///< Of a refusal or failure.
    bool mayHaveRun = false; ///< Of an offer or hedge; passed on in the peer's AdmissionRequest.
};

using AdmissionActions = std::vector<AdmissionAction>;

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::AdmissionActionKind> {
    static constexpr std::array<std::string_view, 6> names { "dispatch", "offer", "hedge", "refuse", "fail", "cancel" };
};
