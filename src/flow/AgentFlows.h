#pragma once

#include "flow/BucketMap.h"
#include "flow/FlowTable.h"
#include "flow/Packet.h"
#include "flow/PeerMessage.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccahook::flow {

/// The flows of one agent and its part of the service's directory: decides for each packet whether it belongs to a
/// flow here, opens one, or goes to another agent. No sockets and no clock of its own.
///
/// A bucket has at most one agent that decides for it. The owner at a newer revision claims it from every live agent
/// of the service, and decides once the former owner has handed over, or once all have promised to open nothing for
/// earlier owners and said which flows they hold. docs/FLOWS.md gives the argument.
class AgentFlows {
public:
    /// Figures since the start.
    struct Counts {
        std::uint64_t opened = 0;
        std::uint64_t placedOnPeers = 0;
        std::uint64_t declined = 0;
        std::uint64_t bucketsTakenOver = 0;
        std::uint64_t bucketsRecovered = 0; ///< Taken without the former owner.
        std::uint64_t conflicts = 0; ///< Flows that two agents said to hold.
    };

    explicit AgentFlows(std::size_t maximumFlows);

    /// The newest membership and this agent's id in it (0 before it has one).
    void setMembership(MembershipPointer membership, std::uint32_t self);

    /// No new flow is opened from now on.
    void drain() { m_draining = true; }

    Decision decide(const Packet& packet, Time now);

    /// Begins to load what `decide` will read.
    void prefetch(const FlowKey& key) const { m_flows.prefetch(key); }

    /// Whom the last verdict `Ask` concerns.
    std::span<const std::uint32_t> probeTargets() const { return m_asked; }

    void close(const FlowKey& key, Time now);

    /// Closes and returns the flows that have been idle for their service's period.
    std::vector<FlowKey> expire(Time now);

    /// Takes a message of another agent.
    void receive(const PeerMessage& message, Time now);

    /// Repeats what was not answered and reports the load; to be called every `tickInterval`.
    void tick(Time now);

    /// Takes the messages to send.
    std::vector<PeerMessage> takeMessages();

    static constexpr Time tickInterval = std::chrono::milliseconds(100);

    bool hasOpenFlow(const FlowKey& key) const;
    std::size_t size() const { return m_open; }
    std::size_t directorySize() const { return m_directory.size(); }
    std::size_t bucketsWaiting() const;
    std::uint32_t self() const { return m_self; }
    const BucketMap* map() const { return m_map.get(); }
    const Counts& counts() const { return m_counts; }

private:
    struct Entry {
        Time lastSeen { 0 };
        std::uint64_t placement = 0;
        bool closing = false; ///< Kept so that a late packet does not open this placement again.
        bool closeTaken = false;
    };

    struct Redirect {
        std::uint32_t holder = 0;
        std::uint64_t placement = 0;
        std::uint64_t revision = 0; ///< One that named the holder; an earlier one may not have heard of it.
    };

    struct Bucket {
        std::uint64_t promised = 0; ///< Nothing is opened here for owners of earlier revisions.
        std::uint64_t epoch = 0; ///< Of this agent's own authority or claim.
        bool authority = false; ///< This agent decides for the bucket.
        bool claiming = false;
        std::uint64_t releasedEpoch = 0; ///< The claim that ended this agent's authority, until it is taken.
        std::uint32_t takenBy = 0; ///< Who took the handover and so knows the bucket's flows.
        std::vector<std::uint32_t> pending; ///< Who has not answered the claim.
    };

    struct PeerLoad {
        double flows = 0;
        bool full = false;
    };

    std::uint32_t bucketOf(const FlowKey& key) const { return BucketMap::bucketOf(key, m_buckets.size()); }
    std::vector<std::uint32_t> livePeers(std::uint32_t service, bool readyOnly) const;
    void restart(const ServiceSpec& service);
    void loseAuthority();
    void claimBuckets();
    void sendClaims(Time now);
    void dropDeadHolders();
    Decision open(const Packet& packet, std::uint64_t placement, Time now);
    Decision decideWithoutId(const Packet& packet);
    Decision decidePlaced(const Packet& packet, Time now);
    Decision decideAsOwner(const Packet& packet, Bucket& bucket, Time now);
    Decision place(const Packet& packet, const Bucket& bucket, Time now);
    Decision find(const Packet& packet, const Bucket& bucket);
    std::uint32_t secondCandidate(const FlowKey& key, std::uint32_t excluded) const;
    double relativeLoad(std::uint32_t member) const;
    bool full() const { return m_draining || m_open >= m_maximumFlows; }
    void takeClaim(const PeerMessage& message);
    void takeHandover(const PeerMessage& message);
    void takeHandoverTaken(const PeerMessage& message);
    void takeClosed(const PeerMessage& message);
    void takeClosedTaken(const PeerMessage& message);
    void takeLoad(const PeerMessage& message);
    bool dead(const Redirect& redirect) const;
    void learn(const DirectoryEntry& entry, std::uint64_t revision, const std::vector<bool>& buckets);
    void gainAuthority(std::uint32_t index, bool recovered);
    void beginClosing(const FlowKey& key, Entry& entry, Time now);
    void eraseDirectory(const std::vector<bool>& buckets);
    PeerMessage messageTo(std::uint32_t member, PeerKind kind, std::uint64_t epoch) const;
    FlowKey keyOf(const net::Address& caller) const { return { caller, m_service }; }

    const std::size_t m_maximumFlows;
    std::unique_ptr<BucketMap> m_map;
    std::uint32_t m_self = 0;
    std::uint32_t m_service = 0;
    bool m_draining = false;
    std::size_t m_open = 0; ///< Entries that are not closing.
    std::uint64_t m_placements = 0;
    FlowTable<Entry> m_flows;
    std::unordered_map<FlowKey, Redirect> m_directory;
    std::vector<Bucket> m_buckets;
    std::unordered_map<std::uint32_t, PeerLoad> m_loads;
    std::vector<std::uint32_t> m_peers; ///< Live agents of the service.
    std::vector<std::uint32_t> m_placeable; ///< Those of them that take new flows.
    std::vector<std::uint32_t> m_askedPeers; ///< Live at the last revision.
    std::vector<std::uint32_t> m_asked;
    std::vector<PeerMessage> m_messages;
    std::vector<FlowKey> m_closing;
    Time m_lastLoad { -loadInterval };
    Time m_lastRetry { 0 };
    Counts m_counts;

    static constexpr Time loadInterval = std::chrono::seconds(1);
};

} // namespace yuccahook::flow
