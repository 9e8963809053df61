#pragma once

#include "control/Journal.h"
#include "control/QuorumCore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace yuccahook::control {

/// What a replica drives: the applied state and the way to the other instances.
class QuorumHost {
public:
    QuorumHost() = default;
    QuorumHost(const QuorumHost&) = delete;
    QuorumHost& operator=(const QuorumHost&) = delete;
    virtual ~QuorumHost() = default;

    virtual void send(const QuorumMessage& message) = 0;
    virtual void apply(std::uint64_t index, const QuorumEntry& entry) = 0;
    virtual void restore(const QuorumSnapshot& snapshot) = 0;

    /// The applied state, for a snapshot.
    virtual std::string saveState() = 0;
};

/// One instance of the quorum: the core's decisions in their safe order, which is journal, messages, state.
class QuorumReplica {
public:
    struct Options {
        std::uint32_t id = 1;
        std::vector<std::uint32_t> contacts; ///< Other instances to ask for the quorum.
        bool founds = true; ///< Starts a cluster with the contacts when all of them are empty.
        QuorumTimings timings;
        std::size_t compactEntries = 1024; ///< Log entries applied since the last snapshot that bring about the next.
        std::uint64_t compactBytes = 4 << 20; ///< Size of the journal that does the same; a disk may hold 64 MB.
    };

    /// Opens the journal; see `fault` when it can't.
    QuorumReplica(
        Options options, FileLayer& files, QuorumHost& host, QuorumCore::Random random, std::uint64_t nowMillis);

    /// Why this instance takes part no more; nothing while it does.
    const std::optional<JournalFault>& fault() const { return m_journal.fault(); }

    /// Whether this instance takes part: its journal is sound and agrees with the leader's.
    bool runs() const { return m_core && !fault() && !m_core->contradicts(); }

    void receive(const QuorumMessage& message, std::uint64_t nowMillis);
    void tick(std::uint64_t nowMillis);

    /// The index and term of the command when this instance leads and takes it; call `flush` after the last one.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> propose(std::string command);
    void handOver();

    /// More instances to ask for the quorum.
    void addDiscoveryPeers(const std::vector<std::uint32_t>& contacts);

    /// Makes durable, sends and applies what is due; commands proposed before it share one sync.
    void flush();

    /// Null when the journal could not be opened.
    const QuorumCore* core() const { return m_core ? &*m_core : nullptr; }

private:
    void compactWhenLong();

    const Options m_options;
    QuorumHost& m_host;
    Journal m_journal;
    std::optional<QuorumCore> m_core;
    std::uint64_t m_applied = 0;
    std::uint64_t m_bytesAtSnapshot = 0;
};

} // namespace yuccahook::control
