#pragma once

#include "kernel/EnumNames.h"
#include "request/Gate.h"
#include "request/RequestState.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccahook::request {

/// A complete answer of a backend server, kept to be replayed when the request is submitted again.
struct RecordedAnswer {
    std::uint32_t status = 0;
    std::string statusText;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Bytes of the texts and the body, without the overhead of the containers.
    std::size_t bytes() const;

    bool operator==(const RecordedAnswer&) const = default;
};

using AnswerPointer = std::shared_ptr<const RecordedAnswer>;

/// 128-bit hash that detects the use of one key for two different requests.
using RequestDigest = std::array<std::uint64_t, 2>;

RequestDigest digestOf(std::string_view method, std::string_view path, std::string_view body);

/// What is known about the run of a claimed request. Within a generation, a later value overrides an earlier one.
enum class ClaimState : std::uint8_t { Running, Unknown, NotRun, Answered };

/// The exclusive right to run the request of an Idempotency-Key, with the outcome of the run.
struct Claim {
    std::string key;
    RequestDigest digest {};
    std::uint32_t runner = 0; ///< Member id of the agent that may dispatch the request.
    std::uint64_t attempt = 0; ///< Number that the runner gave the request.
    std::uint32_t generation = 0; ///< Incremented when the key is granted again after a run that did not start.
    ClaimState state = ClaimState::Running;
    AnswerPointer answer; ///< Null unless the claim is answered.
    Time since {}; ///< Time on the local clock at which the state was reached.

    /// Updates this copy from another copy of the same key; returns whether anything changed.
    bool merge(const Claim& other);

    /// Estimated memory use, with the recorded answer.
    std::size_t bytes() const;

private:
    bool replaceIf(bool better, const Claim& other);
};

/// Messages between agents about claims.
enum class ClaimMessageKind : std::uint8_t {
    Acquire, ///< Runner to home agent: requests a claim.
    Grant, ///< Home agent to runner: the claim is granted and the request may be dispatched.
    Deny, ///< Home agent to runner: the claim is denied, with the reason or the recorded answer.
    Place, ///< Home agent to another agent: store this copy.
    Placed, ///< Holder to home agent: the copy is stored.
    Report, ///< A newer copy of a claim.
    Query, ///< Asks the runner for the state of a claim.
    Collect, ///< New home agent to each member: asks for the claims whose home it has become.
    Collected ///< One page of the claims asked for by Collect.
};

/// One message between agents of a service. Messages may be lost, delayed, reordered and duplicated.
struct ClaimMessage {
    ClaimMessageKind kind = ClaimMessageKind::Acquire;
    std::uint32_t from = 0;
    std::uint64_t view = 0; ///< ClaimView::hash of the sender.
    std::uint64_t revision = 0; ///< Revision of the sender's view.
    Claim claim; ///< `since` is not sent; `age` replaces it.
    Time age {}; ///< Time since the claim reached its state.
    RequestReason reason = RequestReason::None; ///< Of a Deny.
    bool repair = false; ///< Of a Place: replaces a lost copy, so it is stored even when the table is full.
    std::vector<std::uint32_t> holders; ///< Of a Grant: member ids of the other holders of a copy.
    std::string cursor; ///< Of a Collect and its pages: the last key received before.
    bool more = false; ///< Of a Collected: another page follows.
    std::vector<std::pair<Claim, Time>> claims; ///< Of a Collected: claims with the time since each reached its state.
};

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::ClaimState> {
    static constexpr std::array<std::string_view, 4> names { "running", "unknown", "not-run", "answered" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::ClaimMessageKind> {
    static constexpr std::array<std::string_view, 9> names { "acquire", "grant", "deny", "place", "placed", "report",
        "query", "collect", "collected" };
};
