#pragma once

#include "control/Command.h"
#include "control/Journal.h"
#include "control/QuorumCore.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yuccahook::control {

/// What a replica needs of its owner: the applied state and the transport to the other instances.
class QuorumHost {
public:
    QuorumHost() = default;
    QuorumHost(const QuorumHost&) = delete;
    QuorumHost& operator=(const QuorumHost&) = delete;
    virtual ~QuorumHost() = default;

    virtual void send(const QuorumMessage& message) = 0;

    /// Whether a large message to an instance is under way that later messages may overtake.
    virtual bool isTransferring(std::uint32_t to) const = 0;
    virtual void apply(std::uint64_t index, const QuorumEntry& entry) = 0;
    virtual void restore(const QuorumSnapshot& snapshot) = 0;

    /// Discards the applied state; it is rebuilt from the journal, which is opened anew after a fault.
    virtual void reset() = 0;

    /// Returns the serialized applied state, for a snapshot.
    virtual std::string saveState() = 0;
};

/// One replica of the log: performs the actions of a QuorumCore in the safe order, which is journal, messages, applied
/// state. After a failed file operation it opens the journal anew, as a restarted process would, because only what the
/// file contains is then known to be durable.
class QuorumReplica {
public:
    struct Options {
        std::uint32_t id = 1;
        std::vector<std::uint32_t> discoveryPeers; ///< Other instances to contact in search of the quorum.
        bool mayBootstrap = true; ///< May start a cluster with the discovery peers when the logs of all are empty.
        QuorumTimings timings;
        /// A snapshot is made once this many entries were applied since the last one.
        std::size_t compactAfterEntries = 1024;
        /// A snapshot is made once the journal has grown by this much since the last one. Bounds what an instance
        /// applies at its start before it takes part.
        std::uint64_t compactAfterBytes = 1 << 20;
        std::uint64_t reopenMillis = 500; ///< Between attempts to open a journal whose files can't be used.
    };

    /// Opens the journal. When that fails, `fault` has the reason and `core` is null.
    QuorumReplica(
        Options options, FileLayer& files, QuorumHost& host, QuorumCore::Random random, std::uint64_t nowMillis);

    /// The journal's fault, after which this replica takes no part until the journal is opened anew; nothing while
    /// there is none. Only a failed file operation is retried.
    const std::optional<JournalFault>& fault() const { return m_journal->fault(); }

    /// Whether this replica takes part: its journal is usable and does not conflict with other instances' logs.
    bool isRunning() const { return m_core && !fault() && !m_core->hasLogConflict(); }

    void receive(const QuorumMessage& message, std::uint64_t nowMillis);
    void tick(std::uint64_t nowMillis);

    /// Proposes a command and returns its index and term. Nothing when this instance is not the leader or refuses the
    /// command. Call `flush` after the last command of a batch.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> propose(std::string command);

    /// Like `propose`, but a repeatable command that is under way already shares the entry.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> propose(EncodedCommand command);
    void transferLeadership();

    /// See QuorumCore.
    void leave();
    bool mayStop() const { return !isRunning() || m_core->mayStop(); }

    /// Adds instances to contact in search of the quorum.
    void addDiscoveryPeers(const std::vector<std::uint32_t>& discoveryPeers);

    /// Performs all actions that are due. Commands proposed before the call share one sync.
    void flush();

    /// Null when the journal could not be opened.
    const QuorumCore* core() const { return m_core ? &*m_core : nullptr; }

private:
    void open(std::uint64_t nowMillis);
    void reopenIfDue(std::uint64_t nowMillis);
    void compactIfDue();

    const Options m_options;
    FileLayer& m_files;
    QuorumHost& m_host;
    const QuorumCore::Random m_random;
    std::set<std::uint32_t> m_addedPeers; // discovery peers that the settings did not have at the start
    std::optional<Journal> m_journal;
    std::optional<QuorumCore> m_core;
    std::optional<std::uint64_t> m_reopenDueMillis; // set while the journal's files can't be used
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_bytesAfterCompaction = 0;
};

} // namespace yuccahook::control
