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

/// The flows of one agent and its part of the service's flow directory. Decides for each packet whether it belongs to
/// an open flow, opens a new one, or is forwarded to another agent. Has no sockets and no clock; not thread-safe.
///
/// At most one agent decides for a bucket. The bucket's owner at a newer revision claims it from every live agent of
/// the service. It decides once the former owner has handed the bucket over, or once all agents have promised to open
/// no flow for earlier owners and have sent the flows that they hold. docs/FLOWS.md gives the argument.
class AgentFlows {
public:
    /// Totals since the construction.
    struct Counts {
        std::uint64_t opened = 0;
        std::uint64_t placedOnPeers = 0; ///< New flows that this agent, as the owner, placed at another agent.
        std::uint64_t declined = 0; ///< Placements that this agent did not open for another owner.
        std::uint64_t bucketsTakenOver = 0; ///< Handed over by their former owners.
        std::uint64_t bucketsRecovered = 0; ///< Taken over without the former owner.
        std::uint64_t conflicts = 0; ///< Flows that two agents claimed to hold.
    };

    explicit AgentFlows(std::size_t maximumFlows);

    /// Applies a newer membership. `self` is this agent's member id in it, 0 before it has one.
    void setMembership(MembershipPointer membership, std::uint32_t self);

    /// Opens no new flows from now on.
    void drain() { m_draining = true; }

    /// Decides what to do with a packet, and opens a new flow or renews an open one accordingly.
    Decision decide(const Packet& packet, Time now);

    /// Prefetches the table slot that `decide` reads.
    void prefetch(const FlowKey& key) const { m_flows.prefetch(key); }

    /// The members that get a copy of the packet of the last verdict `Probe`.
    std::span<const std::uint32_t> probeTargets() const { return m_probeTargets; }

    /// Closes a flow. Its entry remains for a while, so that a late packet does not open the flow again.
    void close(const FlowKey& key, Time now);

    /// Closes and returns the datagram flows that have been idle for the service's idle period.
    std::vector<FlowKey> expire(Time now);

    /// Handles a message of another agent. Ignores messages to another member id.
    void receive(const PeerMessage& message, Time now);

    /// Repeats unacknowledged messages, removes closed flows and sends the load to the peers. Call every
    /// `tickInterval`.
    void tick(Time now);

    /// Removes and returns the messages to send.
    std::vector<PeerMessage> takeMessages();

    static constexpr Time tickInterval = std::chrono::milliseconds(100);

    /// Whether the flow is open here; false while it is closing.
    bool hasOpenFlow(const FlowKey& key) const;

    /// Number of open flows.
    std::size_t size() const { return m_openFlows; }

    /// Number of flows that the directory places at other agents.
    std::size_t directorySize() const { return m_directory.size(); }

    /// Number of buckets that this agent has claimed and does not decide for yet.
    std::size_t bucketsWaiting() const;

    /// This agent's member id, or 0.
    std::uint32_t self() const { return m_self; }

    /// Null before the first membership.
    const BucketMap* map() const { return m_map.get(); }
    const Counts& counts() const { return m_counts; }

private:
    struct Entry {
        Time lastSeen { 0 };
        std::uint64_t placement = 0;
        bool closing = false; ///< The entry remains so that a late packet does not open this placement again.
        bool closeAcknowledged = false; ///< The bucket's owner has removed the flow from its directory.
    };

    /// Directory entry of a flow that another agent holds.
    struct Redirect {
        std::uint32_t holder = 0;
        std::uint64_t placement = 0;
        std::uint64_t revision = 0; ///< A revision whose members include the holder; earlier ones may not.
    };

    struct Bucket {
        std::uint64_t promised = 0; ///< No flow is opened here for owners of earlier revisions.
        std::uint64_t epoch = 0; ///< Revision of this agent's own authority or claim.
        bool authority = false; ///< This agent decides for the bucket.
        bool claiming = false; ///< This agent has claimed the bucket and waits for the replies.
        std::uint64_t releasedEpoch = 0; ///< Epoch of the claim that ended this agent's authority; 0 once acknowledged.
        std::uint32_t successor = 0; ///< Member that acknowledged the handover and so knows the bucket's flows, or 0.
        std::vector<std::uint32_t> pending; ///< Members that have not replied to the claim.
    };

    struct PeerLoad {
        double flows = 0;
        bool full = false;
    };

    std::uint32_t bucketOf(const FlowKey& key) const { return BucketMap::bucketOf(key, m_buckets.size()); }
    std::vector<std::uint32_t> livePeers(std::uint32_t service, bool readyOnly) const;
    void resetForService(const ServiceSpec& service);
    void dropAuthority();
    void claimBuckets();
    void sendClaims(Time now);
    void dropDepartedPeers();
    Decision openFlow(const Packet& packet, std::uint64_t placement, Time now);
    Decision decideWithoutId(const Packet& packet);
    Decision decidePlaced(const Packet& packet, Time now);
    Decision decideAsOwner(const Packet& packet, Bucket& bucket, Time now);
    Decision placeFlow(const Packet& packet, const Bucket& bucket, Time now);
    Decision locateFlow(const Packet& packet, const Bucket& bucket);
    std::uint32_t secondCandidate(const FlowKey& key, std::uint32_t excluded) const;
    double relativeLoad(std::uint32_t member) const;
    bool full() const { return m_draining || m_openFlows >= m_maximumFlows; }
    void handleClaim(const PeerMessage& message);
    void handleHandover(const PeerMessage& message);
    void handleHandoverTaken(const PeerMessage& message);
    void handleClosed(const PeerMessage& message);
    void handleClosedTaken(const PeerMessage& message);
    void handleLoad(const PeerMessage& message);
    bool isHolderGone(const Redirect& redirect) const;
    void addToDirectory(const DirectoryEntry& entry, std::uint64_t revision, const std::vector<bool>& buckets);
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
    std::size_t m_openFlows = 0; ///< Entries that are not closing.
    std::uint64_t m_placements = 0; ///< Placements made so far; numbers the next one.
    FlowTable<Entry> m_flows;
    std::unordered_map<FlowKey, Redirect> m_directory;
    std::vector<Bucket> m_buckets;
    std::unordered_map<std::uint32_t, PeerLoad> m_loads;
    std::vector<std::uint32_t> m_peers; ///< Other live agents of the service.
    std::vector<std::uint32_t> m_readyPeers; ///< Those peers that accept new flows.
    std::vector<std::uint32_t>
        m_previousPeers; ///< Peers at the last claim of buckets; a peer that is not among them is new.
    std::vector<std::uint32_t> m_probeTargets;
    std::vector<PeerMessage> m_messages;
    std::vector<FlowKey> m_closing;
    Time m_lastLoadTime { -loadInterval };
    Time m_lastRetryTime { 0 };
    Counts m_counts;

    static constexpr Time loadInterval = std::chrono::seconds(1);
};

} // namespace yuccahook::flow
