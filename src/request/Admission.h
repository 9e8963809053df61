#pragma once

#include "kernel/EnumNames.h"
#include "request/RequestState.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace yuccahook::request {

using AdmissionTime = std::chrono::nanoseconds;

/// A request as admission sees it.
struct AdmissionRequest {
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    AdmissionTime deadline = AdmissionTime::max();
    std::uint8_t priority = 0; ///< Lower numbers go first.
    bool idempotent = false;
    bool mayHaveRun = false; ///< An earlier attempt may have run: never refused as not run.
    bool offered = false; ///< Came from another agent: run at once or refuse, never queue or offer again.
};

/// How an attempt at the backend server ended.
enum class AttemptOutcome : std::uint8_t {
    Answered,
    NotRun, ///< Known not to have begun, as a refused connection.
    Failed ///< May have run.
};

/// What the caller of AgentAdmission is to do with a request.
enum class AdmissionActionKind : std::uint8_t {
    Dispatch, ///< Send to the backend server beside this agent.
    Offer, ///< Ask `peer` to run it; report with peerAnswered.
    Hedge, ///< Ask `peer` to run a copy; the first answer counts.
    Refuse, ///< Answer "not run" with the reason and Retry-After.
    Fail, ///< Its attempt failed and it may have run: answer "unknown".
    Cancel ///< Cancel the attempt at the backend server: nobody waits for the answer.
};

struct AdmissionAction {
    AdmissionActionKind kind;
    std::uint64_t id;
    RequestReason reason = RequestReason::None;
    std::uint32_t peer = 0;
    AdmissionTime retryAfter {};
    bool mayHaveRun = false; ///< Of an offer or hedge: for the peer's AdmissionRequest.
};

using AdmissionActions = std::vector<AdmissionAction>;

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::AdmissionActionKind> {
    static constexpr std::array<std::string_view, 6> names { "dispatch", "offer", "hedge", "refuse", "fail", "cancel" };
};
