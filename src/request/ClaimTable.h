#pragma once

#include "request/Claim.h"
#include "request/ClaimView.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yuccahook::request {

/// Limits on the claims that an agent stores.
struct ClaimLimits {
    std::size_t maximumClaims = 10'000;
    std::size_t maximumBytes = 64 << 20; ///< Of claims and recorded answers together.
    Time retention = std::chrono::seconds(600); ///< How long a claim is kept after its outcome is known.
};

/// The result of an attempt to claim a key.
struct ClaimDecision {
    enum class Kind : std::uint8_t { Granted, Repeated, Refused, Unknown };

    std::uint64_t attempt = 0; ///< As returned by ClaimTable::acquire.
    Kind kind = Kind::Refused;
    RequestReason reason = RequestReason::None;
    AnswerPointer answer; ///< Of a repeated request, else null.
};

/// The claims of one agent. An agent grants claims for the keys whose home agent it is, acquires claims for the
/// requests that it runs, and stores copies for other agents. A key is granted only when copies of its claim are stored
/// on three agents (on all, in a service with fewer) in two failure domains (where the service has two).
///
/// After a change of members, a home agent grants keys that it was not the home of before only when every member has
/// reported its claims under the same view. An agent accepts grants and copies only from the key's home agent in its
/// own view. So a claim stored by any member of the view is known to the only home agent that may grant its key.
///
/// Does no I/O and reads no clock: calls pass the time, and messages and decisions are fetched from queues.
class ClaimTable {
public:
    struct Outgoing {
        std::uint32_t to = 0;
        ClaimMessage message;
    };

    explicit ClaimTable(ClaimLimits limits);

    void setLimits(const ClaimLimits& limits) { m_limits = limits; }

    /// Applies the current members. A change of members restarts the collection of claims.
    void setView(const ClaimView& view, Time now);
    const ClaimView& view() const { return m_view; }

    /// Starts an attempt to claim a key. Returns the attempt's number; `takeDecisions` later returns its decision.
    std::uint64_t acquire(const std::string& key, const RequestDigest& digest, Time now);

    /// Abandons an attempt that is not decided yet; it will not be granted. Decided attempts are left alone.
    void abandon(std::uint64_t attempt);

    /// Records the end of a granted attempt: `state` is not run, unknown or answered. Other attempts are ignored.
    void finish(std::uint64_t attempt, ClaimState state, AnswerPointer answer, Time now);

    void receive(const ClaimMessage& message, Time now);

    /// Resends messages that may be lost and deletes claims past their retention; must be called every `tickInterval`.
    void tick(Time now);
    static constexpr Time tickInterval = std::chrono::milliseconds(50);

    std::vector<Outgoing> takeMessages() { return std::exchange(m_outgoing, {}); }
    std::vector<ClaimDecision> takeDecisions() { return std::exchange(m_decisions, {}); }

    std::size_t size() const { return m_claims.size(); }
    std::size_t bytes() const { return m_bytes; }

    /// Whether every member has reported its claims since the last change of members.
    bool settled() const { return m_collecting.empty() && !m_settledViews.empty(); }

    /// The copy of a key's claim that this agent stores, or null.
    const Claim* find(const std::string& key) const;

private:
    /// An attempt of this agent that waits for the decision of the key's home agent.
    struct Pending {
        std::string key;
        RequestDigest digest {};
        Time began {};
        Time sent {};
        RequestReason lastReason = RequestReason::HomeUnreachable;
    };

    /// An attempt of this agent that was granted.
    struct Run {
        std::string key;
        std::uint32_t runner = 0; ///< This agent's member id at the grant.
        std::vector<std::uint32_t> holders;
    };

    /// A claim of this home agent that does not have enough confirmed copies yet.
    struct CopyPlacement {
        std::uint32_t runner = 0;
        std::uint64_t attempt = 0;
        Time began {};
        Time lastRequested {};
        std::vector<ClaimMember> candidates; ///< In order of preference.
        std::size_t candidatesAsked = 0; ///< How many candidates were asked to store a copy.
        std::set<std::uint32_t> confirmed; ///< Members that confirmed their copy.
        bool grantPending = false; ///< The runner waits for a grant; false when only lost copies are replaced.
    };

    void send(std::uint32_t to, ClaimMessage message);
    void dispatchLocal(Time now);
    void dispatch(const ClaimMessage& message, Time now);

    void onAcquire(const ClaimMessage& message, Time now);
    void onGrant(const ClaimMessage& message, Time now);
    void onDeny(const ClaimMessage& message, Time now);
    void onPlace(const ClaimMessage& message, Time now);
    void onPlaced(const ClaimMessage& message, Time now);
    void onReport(const ClaimMessage& message, Time now);
    void onQuery(const ClaimMessage& message, Time now);
    void onCollect(const ClaimMessage& message, Time now);
    void onCollected(const ClaimMessage& message, Time now);

    bool mayGrant(const std::string& key) const;
    bool isFull() const;
    void beginGrant(const ClaimMessage& message, std::uint32_t generation, Time now);
    void beginPlacement(const Claim& claim, bool grantPending, Time now);
    void endPlacement(const std::string& key);
    std::vector<ClaimMember> candidatesFor(const Claim& claim) const;
    std::size_t copiesNeeded(std::uint32_t runner) const;
    bool hasEnoughCopies(const CopyPlacement& placement) const;
    void requestCopies(const std::string& key, CopyPlacement& placement, std::size_t count, Time now);
    void sendDenial(const ClaimMessage& acquire, RequestReason reason, Time now);
    void store(const Claim& claim);
    void decide(std::uint64_t attempt, ClaimDecision::Kind kind, RequestReason reason, AnswerPointer answer = {});
    void endPending(std::uint64_t attempt);
    void recordNeverRun(std::uint64_t attempt);
    void sendReport(std::uint32_t to, const Claim& claim, Time now);
    void sendQuery(const Claim& claim);
    void sendAcquire(std::uint64_t attempt, Pending& pending, Time now);
    void requestCollection(Time now);
    void retryPending(Time now);
    void retryPlacements(Time now);
    void repairCopies(Time now);
    void sweep(Time now);
    void markLostRuns(Time now);

    ClaimLimits m_limits;
    ClaimView m_view;
    std::map<std::string, Claim, std::less<>> m_claims;
    std::size_t m_bytes = 0;
    std::uint64_t m_lastAttempt = 0;
    std::map<std::uint64_t, Pending> m_pending; // by attempt
    std::map<std::uint64_t, Run> m_runs; // by attempt
    std::set<std::uint64_t> m_neverRun; // attempts that were refused, abandoned or not run
    std::map<std::string, CopyPlacement> m_placements; // by key
    // Member and attempt that last requested a running claim, by key.
    std::map<std::string, std::pair<std::uint32_t, std::uint64_t>> m_queried;
    std::vector<ClaimView> m_settledViews; // the last view with all claims collected, and later views
    // Members whose claims are still being collected, with the last key received from each.
    std::map<std::uint32_t, std::string> m_collecting;
    Time m_lastCollection {};
    // The last key whose copies were checked; null when no repair is in progress.
    std::optional<std::string> m_repairCursor;
    Time m_lastSweep {};
    std::deque<ClaimMessage> m_local; // messages of this agent to itself
    std::vector<Outgoing> m_outgoing;
    std::vector<ClaimDecision> m_decisions;
};

} // namespace yuccahook::request
