#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccahook::control {

/// The disks that vote, by instance. A disk is a random identity made with its journal, so an instance that comes
/// back empty is another voter until a committed entry admits it.
using VoterMap = std::map<std::uint32_t, std::uint64_t>;

/// What a log entry does.
enum class EntryKind : std::uint8_t {
    Command,
    TermStart, ///< A leader's first entry; commits what earlier terms left.
    Bootstrap, ///< Names the cluster and its first voters.
    Admit, ///< Starts to replace a voter's disk: majorities of both voter sets are needed from here.
    Settled ///< Ends the replacement.
};

/// An entry of the replicated log.
struct QuorumEntry {
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Command;
    std::uint64_t cluster = 0; ///< Of a bootstrap.
    VoterMap voters; ///< The new ones, of a bootstrap, an admission and its end.
    std::string payload; ///< Of a command.

    bool operator==(const QuorumEntry&) const = default;
};

/// Who votes. With `joining` voters, a majority of each set is needed.
struct QuorumConfiguration {
    VoterMap voters;
    VoterMap joining;

    bool isQuorum(const VoterMap& present) const;
    bool contains(std::uint32_t id, std::uint64_t disk) const;
};

/// The state after all entries up to `index`.
struct QuorumSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint64_t cluster = 0;
    QuorumConfiguration configuration;
    std::string state;
};

/// Term and vote, durable before any message that promises them.
struct QuorumVote {
    std::uint64_t term = 0;
    std::uint64_t disk = 0; ///< The candidate's disk; 0 for none.

    bool operator==(const QuorumVote&) const = default;
};

/// What a message between control instances is.
enum class MessageKind : std::uint8_t {
    Hello, ///< From an instance with an empty log.
    HelloReply,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Snapshot,
    TakeOver ///< A leader that stops asks the receiver to campaign at once.
};

/// A message between control instances.
struct QuorumMessage {
    MessageKind kind = MessageKind::Hello;
    std::uint32_t from = 0;
    std::uint64_t disk = 0;
    std::uint32_t to = 0;
    std::uint64_t cluster = 0;
    std::uint64_t term = 0;
    std::uint64_t index = 0; ///< Before the entries, of the candidate's log, or up to which the receiver agrees.
    std::uint64_t logTerm = 0; ///< Of the entry at `index`.
    std::uint64_t commit = 0;
    bool granted = false;
    std::uint64_t echo = 0; ///< The sender's clock, or the disk of a hello; replies return it.
    std::vector<QuorumEntry> entries;
    QuorumSnapshot snapshot;
};

/// What one sync of the journal makes durable.
struct JournalRecord {
    std::uint64_t disk = 0; ///< In a journal's first record only.
    std::optional<QuorumSnapshot> snapshot; ///< Replaces all before it.
    std::optional<QuorumVote> vote;
    std::uint64_t firstIndex = 0; ///< Of `entries`; the log's entries from here on are replaced. 0 for no change.
    std::vector<QuorumEntry> entries;
};

/// What a journal holds once all its records are applied.
struct JournalState {
    std::uint64_t disk = 0;
    QuorumSnapshot snapshot;
    QuorumVote vote;
    std::vector<QuorumEntry> entries; ///< Those after the snapshot.

    /// False when the record does not continue the state.
    bool apply(const JournalRecord& record);
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::EntryKind> {
    static constexpr std::array<std::string_view, 5> names { "command", "term-start", "bootstrap", "admit", "settled" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::MessageKind> {
    static constexpr std::array<std::string_view, 10> names { "hello", "hello-reply", "pre-vote", "pre-vote-reply",
        "vote", "vote-reply", "append", "append-reply", "snapshot", "take-over" };
};
