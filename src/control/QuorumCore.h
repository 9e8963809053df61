#pragma once

#include "control/QuorumMessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yuccahook::control {

/// Intervals and limits of the quorum protocol.
struct QuorumTimings {
    std::uint64_t heartbeatIntervalMillis = 100;
    /// Used in place of `electionTimeoutMillis` for the first election after a start, when all instances may have
    /// started together.
    std::uint64_t initialElectionTimeoutMillis = 150;
    /// An election starts after a random one to two times this without a leader.
    std::uint64_t electionTimeoutMillis = 500;
    /// A follower is up to date with a quorum while its last message of the leader is at most this old.
    std::uint64_t maximumStateAgeMillis = 1000;
    std::uint64_t voterReplacementMillis = 2000; ///< A voter that is silent for this long may be replaced by a learner.
    /// A voter that is silent for this long is removed if at least three voters remain.
    std::uint64_t voterRemovalMillis = 10'000;
    std::size_t maximumEntriesPerMessage = 256;
    /// Of the entries in a message; a larger entry is sent alone. A few such messages may wait for each peer.
    std::size_t maximumBytesPerMessage = 256 << 10;
    std::size_t maximumUncommittedEntries = 4096; ///< Proposals beyond this number are refused as overload.
    /// Six voters commit with four disks, so that an entry outlives a replaced instance and two lost disks.
    std::size_t maximumVoters = 6;
    bool preVote = true;
};

/// The role of a replica, as in Raft with pre-votes.
enum class QuorumRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// Why a replica starts an election.
enum class ElectionCause : std::uint8_t {
    None,
    LeaderSilent, ///< No message of a leader within the election timeout.
    VotersPresent, ///< All voters are present after a start.
    TakeOver ///< The leader transfers its leadership.
};

/// The last election that a replica started.
struct ElectionStart {
    std::uint64_t count = 0; ///< Number of elections that it has started so far.
    ElectionCause cause = ElectionCause::None;
    std::uint64_t term = 0; ///< Before the election.
    std::uint64_t leaderSilentMillis = 0; ///< Since the last message of a leader; 0 when there was none.
    std::size_t previousVotes = 0; ///< Granted in the election before, its own included; 0 when that one succeeded.
};

/// The actions that a step requires of its caller, in this order: make the record durable, confirm that, send the
/// messages, restore the snapshot and apply the committed entries.
struct QuorumOutput {
    std::optional<JournalRecord> record;
    std::vector<QuorumMessage> messages;
    std::optional<QuorumSnapshot> restored; ///< Replaces the applied state before `committed` is applied.
    std::vector<std::pair<std::uint64_t, QuorumEntry>> committed; ///< Entries to apply with their indexes, in order.

    bool isEmpty() const { return !record && messages.empty() && !restored && committed.empty(); }
};

/// The consensus algorithm of one control instance, in the manner of Raft: leader election, log replication and voter
/// changes. Does no input or output: time, random numbers and messages are passed in, and `takeOutput` returns the
/// actions to perform.
class QuorumCore {
public:
    using Random = std::function<std::uint64_t()>;

    /// `discoveryPeers` are the instances to contact in search of the quorum; `state` is what the journal contained.
    /// With `mayBootstrap`, this instance starts a new cluster together with its discovery peers once all of those that
    /// have a disk report that their logs are empty.
    QuorumCore(std::uint32_t id, std::vector<std::uint32_t> discoveryPeers, bool mayBootstrap, JournalState state,
        Random random, QuorumTimings timings, std::uint64_t nowMillis);

    /// Handles a message of another instance. One of another cluster, or for another instance, is ignored.
    /// `isTransferring`: whether a large message to the sender is under way, behind which heartbeats do not wait.
    void receive(const QuorumMessage& message, std::uint64_t nowMillis, bool isTransferring = false);

    /// Performs what is due by time: heartbeats, elections, hellos and voter changes.
    void tick(std::uint64_t nowMillis);

    /// Appends a command and returns its index. Nothing when this instance is not the leader, is transferring its
    /// leadership or has too many uncommitted entries.
    std::optional<std::uint64_t> propose(std::string command);

    /// The index and term of an entry that contains this command and is not committed yet. Nothing when there is none
    /// or this instance is not the leader.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> uncommittedEntry(const std::string& command) const;

    /// Adds instances to contact in search of the quorum. At most 32 are kept; further ones are ignored.
    void addDiscoveryPeers(const std::vector<std::uint32_t>& discoveryPeers);

    /// Transfers the leadership to the responsive voter whose log is furthest. Proposals are refused until then, or
    /// until one election timeout has passed.
    void transferLeadership();

    /// Prepares a planned stop: transfers the leadership, and asks the leader to replace or remove this voter where
    /// that lets the quorum survive more losses. `tick` repeats what is not confirmed.
    void leave();

    /// Whether this instance may stop after `leave`: the leader has granted it, or there is none to ask.
    bool mayStop() const;

    /// Returns and clears the actions that are due.
    QuorumOutput takeOutput();

    /// Reports that the record of the last output is durable.
    void confirmDurable();

    /// Replaces the log up to `index` by a snapshot; `state` is the applied state after that entry. Does nothing when
    /// the entry is not committed and output yet, or is in the snapshot already.
    void compact(std::uint64_t index, std::string state);

    /// The complete state as one record, for a new journal. Everything in it is already durable.
    JournalRecord completeRecord() const;

    QuorumRole role() const { return m_role; }
    std::uint64_t term() const { return m_vote.term; }
    std::uint64_t disk() const { return m_disk; }
    std::uint64_t cluster() const { return m_cluster; }
    std::uint32_t leader() const { return m_leader; } ///< 0 when unknown.
    std::uint64_t lastIndex() const { return m_snapshot.index + m_log.size(); }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    const ElectionStart& lastElection() const { return m_lastElection; }
    const QuorumSnapshot& snapshot() const { return m_snapshot; }
    const QuorumConfiguration& configuration() const { return m_configurations.rbegin()->second; }

    /// Whether the newest voter configuration is committed and is not a joint one.
    bool hasStableConfiguration() const
    {
        return configuration().joining.empty() && m_configurations.rbegin()->first <= m_commitIndex;
    }

    /// Disks of voters that are known to be lost, because their instances have another disk now.
    const std::set<std::uint64_t>& lostDisks() const { return m_lostDisks; }

    /// Whether another instance's log conflicts with committed entries, which only a lost or damaged journal can cause.
    /// The instance then no longer takes part.
    bool hasLogConflict() const { return m_hasLogConflict; }

    /// Whether this instance, with its present disk, is among the voters that it knows.
    bool isVoter() const { return configuration().contains(m_id, m_disk); }

    /// Whether this instance is the leader, has committed an entry of its term and has recent replies of a quorum.
    bool isActiveLeader() const;

    /// Whether the committed state here is at most a few seconds older than that of a quorum.
    bool isCurrent() const;

private:
    struct Progress {
        std::uint64_t disk = 0;
        std::uint64_t matchIndex = 0;
        std::uint64_t nextIndex = 1;
        std::uint64_t sentCommitIndex = 0;
        std::uint64_t lastContactMillis = 0; ///< When the newest message that the peer has answered was sent.
        std::uint64_t lastAnsweredMillis = 0; ///< Like `lastContactMillis`, but 0 before the first reply to an append.
        bool awaitsReply = false;
        std::uint64_t awaitedIndex = 0; ///< Last index of the unanswered message.
        std::uint64_t leavingUntilMillis = 0; ///< Until then the peer is taken to be about to stop.
    };

    using Handler = void (QuorumCore::*)(const QuorumMessage&);
    static const std::array<Handler, kernel::EnumNames<MessageKind>::names.size()> handlers;

    void onHello(const QuorumMessage& message);
    void onHelloReply(const QuorumMessage& message);
    void onPreVote(const QuorumMessage& message);
    void onPreVoteReply(const QuorumMessage& message);
    void onVote(const QuorumMessage& message);
    void onVoteReply(const QuorumMessage& message);
    void onAppend(const QuorumMessage& message);
    void onAppendReply(const QuorumMessage& message);
    void onSnapshot(const QuorumMessage& message);
    void onTakeOver(const QuorumMessage& message);
    void onLeave(const QuorumMessage& message);
    void onLeaveReply(const QuorumMessage& message);

    bool isLogEmpty() const { return lastIndex() == 0; }
    std::uint64_t termAt(std::uint64_t index) const;
    bool isUpToDate(const QuorumMessage& candidate) const;
    QuorumMessage makeMessage(MessageKind kind, std::uint32_t to) const;
    void send(QuorumMessage message) { m_output.messages.push_back(std::move(message)); }
    void sendReply(const QuorumMessage& request, MessageKind kind, bool granted, std::uint64_t index = 0);
    void broadcast(const QuorumMessage& message);
    std::set<std::uint32_t> knownPeers() const;
    bool lacksLeader() const;
    std::uint32_t contactedLeader() const;
    void sendHello();
    void recordStartupVoter(const QuorumMessage& message);
    void recordLostDisk(const QuorumMessage& reply);
    void forgetFormerDisks();
    void trackLearner(const QuorumMessage& message);
    void removeSilentLearners();
    void adjustVoters();
    std::optional<std::uint32_t> departingVoter() const;
    bool isSilent(std::uint32_t voter) const;
    bool isLeaving() const { return m_leavingSinceMillis.has_value(); }
    bool isLeaving(const Progress& progress) const { return m_nowMillis < progress.leavingUntilMillis; }
    bool mayLeave(std::uint32_t peer) const;
    void requestLeave();
    void proposeVoters(VoterMap voters);
    bool hasRecentContact(std::uint32_t peer, std::uint64_t limitMillis) const;

    void becomeFollower(std::uint64_t term, std::uint32_t leader);
    void recordVote(std::uint64_t term, std::uint64_t votedFor);
    void resetElectionTimer();
    void startElection(ElectionCause cause);
    void recordElection(ElectionCause cause);
    void startPreVote();
    void startCampaign();
    void becomeLeader();
    void bootstrapIfAllEmpty();

    void append(QuorumEntry entry);
    void replaceEntriesFrom(std::uint64_t index, const std::vector<QuorumEntry>& entries, std::size_t first);
    void recordConfiguration(std::uint64_t index, const QuorumEntry& entry);
    bool isReplicated(std::uint64_t index) const;
    void markChanged(std::uint64_t firstIndex);
    void replicate(std::uint32_t peer);
    void sendHeartbeat(std::uint32_t peer);
    void replicateToAll(bool evenUnanswered);
    void sendSnapshot(std::uint32_t peer);
    void advanceCommit();
    void advanceCommitTo(std::uint64_t index);
    void continueLeadershipTransfer();
    bool hasQuorumContact(std::uint64_t limitMillis) const;

    const std::uint32_t m_id;
    const std::vector<std::uint32_t> m_bootstrapPeers; // the discovery peers of the settings, when m_mayBootstrap
    std::set<std::uint32_t> m_discoveryPeers;
    std::set<std::uint32_t> m_disklessPeers; // bootstrap peers without a disk
    const bool m_mayBootstrap;
    const Random m_random;
    const QuorumTimings m_timings;
    const std::uint64_t m_disk;

    // Durable once the record of the output is confirmed.
    QuorumVote m_vote;
    QuorumSnapshot m_snapshot;
    std::vector<QuorumEntry> m_log; // entries after the snapshot
    std::uint64_t m_cluster = 0;

    std::map<std::uint64_t, QuorumConfiguration> m_configurations; // by the index of the entry that contains each
    std::uint64_t m_durableIndex = 0;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_outputIndex = 0; // index of the last committed entry that was output
    std::uint64_t m_nowMillis;
    QuorumRole m_role = QuorumRole::Follower;
    std::uint32_t m_leader = 0;
    std::uint64_t m_leaderCommitIndex = 0;
    std::uint32_t m_contactLeader = 0; // the sender of the last message of a leader
    std::uint64_t m_leaderContactMillis = 0; // when that message arrived
    std::uint64_t m_electionDueMillis = 0;
    ElectionStart m_lastElection;
    std::uint64_t m_heartbeatDueMillis = 0;
    std::uint64_t m_leaderSinceMillis = 0;
    std::uint64_t m_termStartIndex = 0; // index of this leader's TermStart entry
    VoterMap m_grantedBy; // granted votes or pre-votes; before the bootstrap, peers that report an empty log
    VoterMap m_startupVoters; // voters that were heard from before any leader and would vote for this instance
    std::map<std::uint32_t, Progress> m_progress;
    std::uint64_t m_probe = 0; // returned by replies to requests sent since the newest configuration is known here
    std::set<std::uint64_t> m_lostDisks; // of voters
    std::uint64_t m_lostDisksSinceMillis = 0; // when the last of them became known
    std::set<std::uint64_t> m_campaignLostDisks; // those known when the last election began
    std::uint32_t m_transferTarget = 0;
    std::uint64_t m_transferDeadlineMillis = 0;
    std::optional<std::uint64_t> m_leavingSinceMillis; // once this instance is about to stop
    bool m_mayLeave = false; // granted by the leader

    QuorumOutput m_output;
    std::optional<std::uint64_t> m_firstChangedIndex;
    bool m_hasLogConflict = false;
    bool m_isTransferring = false; // to the sender of the message that is handled
    bool m_voteChanged = false;
    bool m_snapshotChanged = false;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::ElectionCause> {
    static constexpr std::array<std::string_view, 4> names { "none", "leader-silent", "voters-present", "take-over" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::QuorumRole> {
    static constexpr std::array<std::string_view, 4> names { "follower", "pre-candidate", "candidate", "leader" };
};
