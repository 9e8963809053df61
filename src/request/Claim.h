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

/// A whole answer of a backend server, kept to be given again.
struct RecordedAnswer {
    std::uint32_t status = 0;
    std::string statusText;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::size_t bytes() const;

    bool operator==(const RecordedAnswer&) const = default;
};

using AnswerPointer = std::shared_ptr<const RecordedAnswer>;

/// Tells two requests with one key apart.
using RequestDigest = std::array<std::uint64_t, 2>;

RequestDigest digestOf(std::string_view method, std::string_view path, std::string_view body);

/// What is known of the run that a claim stands for. A later value overrides an earlier one of the same generation.
enum class ClaimState : std::uint8_t { Running, Unknown, NotRun, Answered };

/// The sole right to run the request of a key, and what became of it.
struct Claim {
    std::string key;
    RequestDigest digest {};
    std::uint32_t runner = 0; ///< The member that may dispatch it.
    std::uint64_t attempt = 0; ///< The runner's own number of the request.
    std::uint32_t generation = 0; ///< Raised each time the key is granted again after a run that did not begin.
    ClaimState state = ClaimState::Running;
    AnswerPointer answer; ///< Of an answered claim.
    Time since {}; ///< Local time at which the state was reached.

    /// Takes over what the other copy knows better; returns whether anything changed.
    bool merge(const Claim& other);

    std::size_t bytes() const;

private:
    bool replaceIf(bool better, const Claim& other);
};

/// What agents tell each other about claims.
enum class ClaimMessageKind : std::uint8_t {
    Acquire, ///< Runner to home: may I run this?
    Grant, ///< Home to runner: the claim stands, run it.
    Deny, ///< Home to runner: no, with the reason, or with the recorded answer.
    Place, ///< Home to another agent: hold this copy.
    Placed, ///< The copy stands.
    Report, ///< A newer copy of a claim.
    Query, ///< To the runner: what became of it?
    Collect, ///< New home to each member: what do you hold that is mine now?
    Collected ///< One page of that.
};

/// One message between agents of a service. Messages may be lost, late, reordered and repeated.
struct ClaimMessage {
    ClaimMessageKind kind = ClaimMessageKind::Acquire;
    std::uint32_t from = 0;
    std::uint64_t view = 0; ///< ClaimView::hash of the sender.
    std::uint64_t revision = 0; ///< Revision of the sender's view.
    Claim claim; ///< `since` travels as an age; see `age`.
    Time age {};
    RequestReason reason = RequestReason::None; ///< Of a Deny.
    bool repair = false; ///< Of a Place: replaces a copy that was lost, so it is taken beyond the bound too.
    std::vector<std::uint32_t> holders; ///< Of a Grant: who else holds a copy.
    std::string cursor; ///< Of a Collect: the last key taken.
    bool more = false; ///< Of a Collected: another page follows.
    std::vector<std::pair<Claim, Time>> claims; ///< Of a Collected, with ages.
};

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::ClaimState> {
    static constexpr std::array<std::string_view, 4> names { "running", "unknown", "not-run", "answered" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::ClaimMessageKind> {
    static constexpr std::array<std::string_view, 9> names { "acquire", "grant", "deny", "place", "placed", "report",
        "query", "collect", "collected" };
};
