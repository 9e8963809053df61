#pragma once

#include "kernel/EnumNames.h"
#include "net/Address.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccahook::control {

/// The voting disks by instance id. A disk is identified by a random number that is created with its journal, so an
/// instance that returns with an empty disk is another voter until a committed entry admits it.
using VoterMap = std::map<std::uint32_t, std::uint64_t>;

/// The kinds of log entries.
enum class EntryKind : std::uint8_t {
    Command,
    TermStart, ///< A leader's first entry. Entries of earlier terms are committed together with it.
    Bootstrap, ///< Gives the cluster's id and its first voters.
    Admit, ///< Starts a joint configuration: from here on, majorities of both voter sets are needed.
    Settled ///< Ends the joint configuration; only the new voters remain.
};

/// An entry of the replicated log.
struct QuorumEntry {
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Command;
    std::uint64_t cluster = 0; ///< Id of the new cluster, in a `Bootstrap` entry.
    VoterMap voters; ///< The new voters, in a `Bootstrap`, `Admit` or `Settled` entry.
    std::string payload; ///< The encoded command, in a `Command` entry.

    bool operator==(const QuorumEntry&) const = default;
};

/// The voters of a cluster. While `joining` is not empty the configuration is a joint one: a majority of each set is
/// needed.
struct QuorumConfiguration {
    VoterMap voters;
    VoterMap joining;

    /// Whether `present` is a quorum: a majority of each set. Disks in `lostDisks`, which never vote again, do not
    /// count. With one of them among an even number of voters, a majority of the other voters suffices, because it has
    /// a disk in common with each majority of all voters.
    bool isQuorum(const VoterMap& present, const std::set<std::uint64_t>& lostDisks = {}) const;
    bool contains(std::uint32_t id, std::uint64_t disk) const;
};

/// The replicated state after all entries up to and including `index`.
struct QuorumSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t cluster = 0;
    QuorumConfiguration configuration;
    std::string state;
};

/// The current term and the vote in it. Durable before any message that depends on them is sent.
struct QuorumVote {
    std::uint64_t term = 0;
    std::uint64_t disk = 0; ///< The candidate's disk; 0 for none.

    bool operator==(const QuorumVote&) const = default;
};

/// The kinds of messages between control instances.
enum class MessageKind : std::uint8_t {
    Hello, ///< Looks for the quorum; sent by an instance without contact to a leader.
    HelloReply,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Snapshot,
    TakeOver, ///< Sent by a leader that transfers its leadership; the receiver starts an election at once.
    Leave, ///< Sent to the leader by an instance that is about to stop; repeated until the reply grants it.
    LeaveReply
};

/// Whether a message answers another one and returns its probe.
constexpr bool isReply(MessageKind kind)
{
    return kind == MessageKind::HelloReply || kind == MessageKind::PreVoteReply || kind == MessageKind::VoteReply
        || kind == MessageKind::AppendReply || kind == MessageKind::LeaveReply;
}

/// A message between control instances.
struct QuorumMessage {
    MessageKind kind = MessageKind::Hello;
    std::uint32_t from = 0;
    std::uint64_t disk = 0;
    std::uint32_t to = 0;
    std::uint64_t cluster = 0;
    std::uint64_t term = 0;
    /// Last index before `entries`, last index of the sender's log (hello and vote requests) or index up to which the
    /// receiver's log agrees (append replies).
    std::uint64_t index = 0;
    std::uint64_t logTerm = 0; ///< Term of the entry at `index`.
    std::uint64_t commit = 0;
    bool granted = false;
    std::uint64_t echo = 0; ///< The sender's clock in milliseconds, or its disk in a hello. Replies return the value.
    std::uint64_t probe = 0; ///< Of a request, returned by its reply. 0 in replies of an earlier release.
    std::vector<QuorumEntry> entries;
    QuorumSnapshot snapshot;
    /// In a hello reply, the leader that the sender is in contact with or is itself; 0 for none.
    std::uint32_t leader = 0;
    net::Address operatorAddress; ///< In a hello reply, where operators call the sender; unset when it has no disk.
    net::Address
        rpcAddress; ///< In a hello, where the reply is sent when the receiver's settings do not list the sender.
};

/// The changes that one sync of the journal makes durable.
struct JournalRecord {
    std::uint64_t disk = 0; ///< Set in a journal's first record only.
    std::optional<QuorumSnapshot> snapshot; ///< Replaces all log entries of earlier records.
    std::optional<QuorumVote> vote;
    /// Index of the first of `entries`, which replace the log from there on. 0 when the log does not change.
    std::uint64_t firstIndex = 0;
    std::vector<QuorumEntry> entries;
};

/// The state after all records of a journal.
struct JournalState {
    std::uint64_t disk = 0;
    QuorumSnapshot snapshot;
    QuorumVote vote;
    std::vector<QuorumEntry> entries; ///< Entries after the snapshot.

    /// Applies the next record. False when its entries do not continue the log.
    bool apply(const JournalRecord& record);
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::EntryKind> {
    static constexpr std::array<std::string_view, 5> names { "command", "term-start", "bootstrap", "admit", "settled" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::MessageKind> {
    static constexpr std::array<std::string_view, 12> names { "hello", "hello-reply", "pre-vote", "pre-vote-reply",
        "vote", "vote-reply", "append", "append-reply", "snapshot", "take-over", "leave", "leave-reply" };
};
