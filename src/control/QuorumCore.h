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

/// Intervals of the quorum and its bounds.
struct QuorumTimings {
    std::uint64_t heartbeatMillis = 100;
    std::uint64_t firstElectionMillis = 150; ///< The same after a start, when all may have started together.
    std::uint64_t electionMillis = 500; ///< An election starts after one to two times this without a leader.
    std::uint64_t contactMillis = 1000; ///< How old a follower's knowledge may be and still count as current.
    std::uint64_t exchangeMillis = 2000; ///< A voter silent for this long gives its place to a waiting instance.
    std::uint64_t removalMillis = 10'000; ///< A voter silent for this long leaves, while more than three stay.
    std::size_t entriesInMessage = 256;
    std::size_t uncommittedBound = 4096; ///< Proposals above it are refused as overload.
    std::size_t maximumVoters = 5; ///< Two may be lost at once.
    bool preVote = true;
};

enum class QuorumRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// What a step asks of its caller: make the record durable, then confirm it, then send and apply.
struct QuorumOutput {
    std::optional<JournalRecord> record;
    std::vector<QuorumMessage> messages;
    std::optional<QuorumSnapshot> restored; ///< Replaces the applied state, before the committed entries.
    std::vector<std::pair<std::uint64_t, QuorumEntry>> committed; ///< By index, in order.

    bool isEmpty() const { return !record && messages.empty() && !restored && committed.empty(); }
};

/// The decisions of one instance of the quorum: elections, replication, admission of voters. Makes no input or
/// output: time, random numbers and messages come in, and `takeOutput` returns what to do.
class QuorumCore {
public:
    using Random = std::function<std::uint64_t()>;

    /// `contacts` are instances to ask for the quorum; `state` is what the journal held. An instance that founds
    /// starts a cluster together with its contacts once all of them say that they are empty.
    QuorumCore(std::uint32_t id, std::vector<std::uint32_t> contacts, bool founds, JournalState state, Random random,
        QuorumTimings timings, std::uint64_t nowMillis);

    void receive(const QuorumMessage& message, std::uint64_t nowMillis);
    void tick(std::uint64_t nowMillis);

    /// The index that the command will have, when this instance leads and takes it.
    std::optional<std::uint64_t> propose(std::string command);

    /// More instances to ask for the quorum.
    void addDiscoveryPeers(const std::vector<std::uint32_t>& contacts);

    /// Gives the lead to the follower that is furthest; takes no proposals meanwhile.
    void handOver();

    QuorumOutput takeOutput();

    /// The record of the last output is durable.
    void confirmDurable();

    /// Replaces the log up to `index`, which was applied, by the state after it.
    void compact(std::uint64_t index, std::string state);

    /// All that a fresh journal must hold; everything in it is durable already.
    JournalRecord wholeRecord() const;

    QuorumRole role() const { return m_role; }
    std::uint64_t term() const { return m_vote.term; }
    std::uint64_t disk() const { return m_disk; }
    std::uint64_t cluster() const { return m_cluster; }
    std::uint32_t leader() const { return m_leader; } ///< 0 when unknown.
    std::uint64_t lastIndex() const { return m_snapshot.index + m_log.size(); }
    std::uint64_t commitIndex() const { return m_commit; }
    const QuorumSnapshot& snapshot() const { return m_snapshot; }
    const QuorumConfiguration& configuration() const { return m_configurations.rbegin()->second; }

    /// Whether the newest voters are committed and none is being replaced.
    bool isSettled() const { return configuration().joining.empty() && m_configurations.rbegin()->first <= m_commit; }

    /// Whether a leader's log contradicts what was committed here, which only a lost or damaged journal can bring
    /// about.
    bool contradicts() const { return m_contradicts; }

    /// Whether this instance's disk is among the voters it knows.
    bool votes() const { return configuration().contains(m_id, m_disk); }

    /// Leads, has committed an entry of its term and has heard from a quorum.
    bool leads() const;

    /// Knows the state of a quorum that is a few seconds old at most.
    bool isCurrent() const;

private:
    struct Progress {
        std::uint64_t disk = 0;
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        std::uint64_t toldCommit = 0;
        std::uint64_t heardMillis = 0; ///< When the newest answered message was sent.
        bool waiting = false;
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

    bool isEmpty() const { return lastIndex() == 0; }
    std::uint64_t termAt(std::uint64_t index) const;
    bool isUpToDate(const QuorumMessage& candidate) const;
    QuorumMessage message(MessageKind kind, std::uint32_t to) const;
    void send(QuorumMessage message) { m_output.messages.push_back(std::move(message)); }
    void reply(const QuorumMessage& request, MessageKind kind, bool granted, std::uint64_t index = 0);
    void broadcast(const QuorumMessage& pattern);
    std::set<std::uint32_t> electorate() const;
    bool lacksLeader() const;
    void sayHello();
    void notePresent(const QuorumMessage& message);
    void noteLearner(const QuorumMessage& message);
    void forgetLearners();
    void reviewVoters();
    void proposeVoters(VoterMap voters);
    bool isHeard(std::uint32_t peer, std::uint64_t limitMillis) const;

    void follow(std::uint64_t term, std::uint32_t leader);
    void enterTerm(std::uint64_t term, std::uint64_t votedFor);
    void resetElectionTimer();
    void beginElection();
    void startPreVote();
    void campaign();
    void becomeLeader();
    void foundIfAllAreEmpty();

    void append(QuorumEntry entry);
    void replaceFrom(std::uint64_t index, const std::vector<QuorumEntry>& entries, std::size_t first);
    void noteConfiguration(std::uint64_t index, const QuorumEntry& entry);
    void rememberWrite(std::uint64_t firstIndex);
    void replicate(std::uint32_t peer);
    void replicateToAll(bool evenWaiting);
    void sendSnapshot(std::uint32_t peer);
    void advanceCommit();
    void commitTo(std::uint64_t index);
    void continueHandOver();
    bool hasQuorumContact(std::uint64_t limitMillis) const;

    const std::uint32_t m_id;
    const std::vector<std::uint32_t> m_founders; // the others, when this instance founds
    std::set<std::uint32_t> m_contacts;
    std::set<std::uint32_t> m_relays; // founders without a disk
    const bool m_founds;
    const Random m_random;
    const QuorumTimings m_timings;
    const std::uint64_t m_disk;

    // Durable once the record is confirmed.
    QuorumVote m_vote;
    QuorumSnapshot m_snapshot;
    std::vector<QuorumEntry> m_log; // those after the snapshot
    std::uint64_t m_cluster = 0;

    std::map<std::uint64_t, QuorumConfiguration> m_configurations; // by the index that made each
    std::uint64_t m_durable = 0;
    std::uint64_t m_commit = 0;
    std::uint64_t m_taken = 0; // committed entries handed out
    std::uint64_t m_now;
    QuorumRole m_role = QuorumRole::Follower;
    std::uint32_t m_leader = 0;
    std::uint64_t m_leaderCommit = 0;
    std::uint64_t m_leaderHeardMillis = 0;
    std::uint64_t m_electionAtMillis = 0;
    std::uint64_t m_heartbeatAtMillis = 0;
    std::uint64_t m_leadsSinceMillis = 0;
    std::uint64_t m_termStart = 0; // index of the leader's first entry
    VoterMap m_granted; // votes or pre-votes; peers that say they are empty before the bootstrap
    VoterMap m_present; // voters that were heard before any leader and would vote for this instance
    std::map<std::uint32_t, Progress> m_progress;
    std::uint32_t m_handOverTo = 0;
    std::uint64_t m_handOverEndMillis = 0;

    QuorumOutput m_output;
    std::optional<std::uint64_t> m_writeFrom;
    bool m_contradicts = false;
    bool m_voteChanged = false;
    bool m_snapshotChanged = false;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::QuorumRole> {
    static constexpr std::array<std::string_view, 4> names { "follower", "pre-candidate", "candidate", "leader" };
};
