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

/// The bounds of an agent's claims.
struct ClaimLimits {
    std::size_t maximumClaims = 10'000;
    std::size_t maximumBytes = 64 << 20; ///< Of claims and recorded answers together.
    Time retention = std::chrono::seconds(600);
};

/// What became of an attempt to claim a key.
struct ClaimDecision {
    enum class Kind : std::uint8_t { Granted, Repeated, Refused, Unknown };

    std::uint64_t attempt = 0;
    Kind kind = Kind::Refused;
    RequestReason reason = RequestReason::None;
    AnswerPointer answer; ///< Of a repeated request.
};

/// The claims of one agent: as the home agent of keys it grants them, as the running agent it asks for them, and for
/// both it holds copies. A key is granted only when its claim stands on three agents (all, in a service with fewer)
/// in two failure domains (where the service has two).
///
/// After a change of members a home grants keys that it did not have before only when every member has told it, under
/// the same view, what it holds; an agent accepts grants and copies only from a home of its own view. So a claim that
/// any member of the view holds is known to the one home that may grant its key.
///
/// Sans-I/O: calls pass the time; messages and decisions are taken from queues.
class ClaimTable {
public:
    struct Outgoing {
        std::uint32_t to = 0;
        ClaimMessage message;
    };

    explicit ClaimTable(ClaimLimits limits);

    void setLimits(const ClaimLimits& limits) { m_limits = limits; }
    void setView(const ClaimView& view, Time now);
    const ClaimView& view() const { return m_view; }

    /// Begins to claim a key; the decision with the returned attempt number follows in `takeDecisions`.
    std::uint64_t acquire(const std::string& key, const RequestDigest& digest, Time now);

    /// Gives up an attempt that is not decided yet; it will not be granted.
    void abandon(std::uint64_t attempt);

    /// The end of a granted attempt: not run, unknown or answered.
    void finish(std::uint64_t attempt, ClaimState state, AnswerPointer answer, Time now);

    void receive(const ClaimMessage& message, Time now);

    /// Repeats what may be lost and forgets what is past its retention; due every `tickInterval`.
    void tick(Time now);
    static constexpr Time tickInterval = std::chrono::milliseconds(50);

    std::vector<Outgoing> takeMessages() { return std::exchange(m_outgoing, {}); }
    std::vector<ClaimDecision> takeDecisions() { return std::exchange(m_decisions, {}); }

    std::size_t size() const { return m_claims.size(); }
    std::size_t bytes() const { return m_bytes; }

    /// Whether every member has registered what it holds since the last change of members.
    bool settled() const { return m_collecting.empty() && !m_settledViews.empty(); }
    const Claim* find(const std::string& key) const;

private:
    /// An attempt of this agent that waits for its home's decision.
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

    /// A claim of this home whose copies do not all stand yet.
    struct Placing {
        std::uint32_t runner = 0;
        std::uint64_t attempt = 0;
        Time began {};
        Time widened {};
        std::vector<ClaimMember> candidates; ///< In order of preference.
        std::size_t asked = 0;
        std::set<std::uint32_t> placed;
        bool grants = false; ///< Its runner waits for it; otherwise lost copies are replaced.
    };

    void send(std::uint32_t to, ClaimMessage message);
    void drainLocal(Time now);
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
    bool full() const;
    void grantAnew(const ClaimMessage& message, std::uint32_t generation, Time now);
    void beginPlacing(const Claim& claim, bool grants, Time now);
    void endPlacing(const std::string& key);
    std::vector<ClaimMember> candidatesFor(const Claim& claim) const;
    std::size_t copiesNeeded(std::uint32_t runner) const;
    bool standsOnEnough(const Placing& placing) const;
    void askCandidates(const std::string& key, Placing& placing, std::size_t count, Time now);
    void deny(const ClaimMessage& acquire, RequestReason reason, Time now);
    void store(const Claim& claim);
    void decide(std::uint64_t attempt, ClaimDecision::Kind kind, RequestReason reason, AnswerPointer answer = {});
    void forgetAttempt(std::uint64_t attempt);
    void rememberNeverRun(std::uint64_t attempt);
    void report(std::uint32_t to, const Claim& claim, Time now);
    void query(const Claim& claim);
    void sendAcquire(std::uint64_t attempt, Pending& pending, Time now);
    void collectAgain(Time now);
    void retryPending(Time now);
    void retryPlacing(Time now);
    void repairCopies(Time now);
    void sweep(Time now);
    void loseRunners(Time now);

    ClaimLimits m_limits;
    ClaimView m_view;
    std::map<std::string, Claim, std::less<>> m_claims;
    std::size_t m_bytes = 0;
    std::uint64_t m_lastAttempt = 0;
    std::map<std::uint64_t, Pending> m_pending; // by attempt
    std::map<std::uint64_t, Run> m_runs; // by attempt
    std::set<std::uint64_t> m_neverRun; // attempts that were refused and will not be granted
    std::map<std::string, Placing> m_placing; // by key
    std::map<std::string, std::pair<std::uint32_t, std::uint64_t>> m_queried; // who asked for a running key
    std::vector<ClaimView> m_settledViews; // the last settled view and those since
    std::map<std::uint32_t, std::string> m_collecting; // members still to register, with the last key taken
    Time m_collectSent {};
    std::optional<std::string> m_repairCursor; // the last key repaired, while there are more
    Time m_swept {};
    std::deque<ClaimMessage> m_local;
    std::vector<Outgoing> m_outgoing;
    std::vector<ClaimDecision> m_decisions;
};

} // namespace yuccahook::request
