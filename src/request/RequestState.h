#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>

namespace yuccahook::request {

/// The state of a request. Answered, refused, cancelled and unknown are final.
enum class RequestState : std::uint8_t { Received, Queued, Dispatched, Answered, Refused, Cancelled, Unknown };

/// What is reported to the caller: the request did not run, may have run, was answered, or was answered earlier and the
/// recorded answer is replayed.
enum class Outcome : std::uint8_t { NotRun, Unknown, Answered, Repeated };

/// Why a request was refused, retried or left unknown.
enum class RequestReason : std::uint8_t {
    None,
    // Refused before dispatch: not run.
    Malformed,
    BodyTooLarge,
    KeyRequired,
    KeyMalformed,
    KeyReused,
    ClaimsFull,
    HomeUnreachable,
    WitnessUnreachable,
    HandoverPending,
    Draining,
    BackendUnreachable,
    QueueFull,
    DeadlineUnmeetable,
    DeadlineInQueue,
    ConcurrencyLimit,
    SlowStart,
    LowPriority,
    CallerGone,
    ShedByBackend,
    RetryBudgetSpent,
    // May have run.
    StillRunning,
    EarlierRunUnknown,
    BackendLost,
    AnswerTruncated,
    AnswerTooLarge,
    DeadlinePassed,
    // Retries and hedges.
    RetriedNotRun,
    RetriedIdempotent,
    Hedged,
    OfferedToPeer
};

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::RequestState> {
    static constexpr std::array<std::string_view, 7> names { "received", "queued", "dispatched", "answered", "refused",
        "cancelled", "unknown" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::Outcome> {
    static constexpr std::array<std::string_view, 4> names { "not-run", "unknown", "answered", "repeated" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::RequestReason> {
    static constexpr std::array<std::string_view, 31> names { "none", "malformed", "body-too-large", "key-required",
        "key-malformed", "key-reused", "claims-full", "home-unreachable", "witness-unreachable", "handover-pending",
        "draining", "backend-unreachable", "queue-full", "deadline-unmeetable", "deadline-in-queue",
        "concurrency-limit", "slow-start", "low-priority", "caller-gone", "shed-by-backend", "retry-budget-spent",
        "still-running", "earlier-run-unknown", "backend-lost", "answer-truncated", "answer-too-large",
        "deadline-passed", "retried-not-run", "retried-idempotent", "hedged", "offered-to-peer" };
};
