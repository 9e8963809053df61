#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace yuccahook::request {

using AdmissionTime = std::chrono::nanoseconds;

/// Why a request was refused as not run, or was not tried again.
enum class AdmissionReason : std::uint8_t {
    None,
    Draining,
    NoSlots, ///< The backend server has not announced itself.
    QueueFull, ///< Expected to wait longer than the service allows.
    DeadlineUnreachable, ///< Would not finish before its deadline.
    QueueTimeout, ///< Waited until it could no longer finish in time.
    Displaced, ///< A request of higher priority took its place in a full queue.
    PeerBusy, ///< Offered by another agent, and no slot is free here.
    BackendShed, ///< The backend server turned it away.
    RetryBudgetSpent
};

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
    AdmissionReason reason = AdmissionReason::None;
    std::uint32_t peer = 0;
    AdmissionTime retryAfter {};
    bool mayHaveRun = false; ///< Of an offer or hedge: for the peer's AdmissionRequest.
};

using AdmissionActions = std::vector<AdmissionAction>;

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::AdmissionReason> {
    static constexpr std::array<std::string_view, 10> names { "none", "draining", "no-slots", "queue-full",
        "deadline-unreachable", "queue-timeout", "displaced", "peer-busy", "backend-shed", "retry-budget-spent" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::AdmissionActionKind> {
    static constexpr std::array<std::string_view, 6> names { "dispatch", "offer", "hedge", "refuse", "fail", "cancel" };
};
