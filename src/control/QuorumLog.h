#pragma once

#include "control.capnp.h"
#include "control/ClusterState.h"
#include "control/CommandLog.h"
#include "control/ControlWork.h"
#include "control/MessageTransfer.h"
#include "control/QuorumRelay.h"
#include "control/QuorumReplica.h"
#include "net/EventLoopThread.h"
#include "observe/Counters.h"
#include "settings/Settings.h"

#include <capnp/rpc-twoparty.h>
#include <functional>
#include <kj/async.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace yuccahook::control {

/// The replicated log of the control instances: connects a replica to the data folder, the other instances and the
/// applied state. Lives on the control thread, on which it also syncs the journal.
class QuorumLog final : public CommandLog, private QuorumHost, private kj::TaskSet::ErrorHandler {
public:
    /// Called with the status of a proposal and, when it was committed, its index.
    using ProposalCallback = std::function<void(ProposeStatus, std::uint64_t index)>;

    /// `applied` is called after entries were applied to `state`. With an empty `settings.data` this instance stores
    /// nothing and does not vote. Throws when another process uses the data folder or its journal is damaged or not one
    /// of this release; a failed file operation is retried instead.
    QuorumLog(const settings::ControlSettings& settings, net::EventLoop& loop, ClusterState& state,
        observe::Counters& counters, ControlWorkMeter& workMeter, std::function<void()> applied);
    ~QuorumLog() noexcept override;

    /// Proposes a command; a follower forwards it to the leader. Fails with `NotLeader` on an instance without a disk,
    /// which directs operators to `operatorTarget`.
    void propose(const Command& command, Done done) override;
    void propose(const EncodedCommand& command, Done done);
    bool isActiveLeader() const override;
    bool isCurrent() const override;

    /// Whether this instance takes part; false without a disk and while the journal can't be used.
    bool isRunning() const { return m_replica.get() && m_replica->isRunning(); }

    /// Proposes an encoded command here and does not forward it; fails with `NotLeader` when this instance is not the
    /// leader.
    void proposeLocally(EncodedCommand command, ProposalCallback callback);

    /// Handles an encoded QuorumMessage of another instance. A malformed one is counted and dropped.
    void receive(const std::string& message);

    /// Handles a part of a large message. Throws when it does not continue the sender's transfer.
    void receivePart(std::uint32_t sender, const MessagePart& part);

    /// The leader's RPC interface. Null when this instance is the leader, knows none or is not connected to it.
    kj::Maybe<schema::Control::Client> leaderClient();

    /// The operator address of the instance that takes requests in place of this one. Nothing when none is known, and
    /// always on an instance with a disk.
    std::optional<net::Address> operatorTarget() const;

    /// RPC addresses of the voters; empty while this instance has a disk and does not take part.
    std::vector<net::Address> voters() const;

    /// Adds instances to contact in search of the quorum, by RPC address.
    void addDiscoveryPeers(const std::vector<net::Address>& addresses);

    /// Prepares a planned stop of this instance, as QuorumCore does. `done` is called once it may stop, at the latest
    /// after two seconds.
    void leave(std::function<void()> done);

private:
    struct Peer;
    struct PendingProposal {
        std::uint64_t term = 0;
        ProposalCallback callback;
        kj::TimePoint deadline;
    };

    void send(const QuorumMessage& message) override;
    bool isTransferring(std::uint32_t to) const override;
    void apply(std::uint64_t index, const QuorumEntry& entry) override;
    void restore(const QuorumSnapshot& snapshot) override;
    void reset() override;
    std::string saveState() override;
    void taskFailed(kj::Exception&& exception) override;

    std::uint64_t nowMillis() const;
    void openReplica();
    kj::Promise<void> tickPeriodically();
    void tick();
    kj::Promise<void> tickRelayPeriodically();
    void sendRelayMessages();
    std::optional<JournalFault> fault() const
    {
        return m_replica.get() ? m_replica->fault() : std::optional<JournalFault> {};
    }
    Peer& peer(std::uint32_t id);
    std::string peerName(std::uint32_t id) const { return addressOf(id).text(); }
    net::Address addressOf(std::uint32_t id) const;
    void addPeer(std::uint32_t id, const net::Address& address);
    net::Address operatorAddress() const;
    QuorumMessage withAddresses(QuorumMessage message) const;
    void connect(Peer& peer);
    void closeConnection(Peer& peer);
    void sendWhole(Peer& peer, MessageKind kind, std::uint32_t to, const std::string& bytes);
    void sendParts(Peer& peer);
    void sendPart(Peer& peer, const MessagePart& part);
    kj::Promise<void> whileAnswering(const Peer& peer, kj::Promise<void> reply);
    kj::Promise<void> waitForSilence(const Peer& peer, kj::TimePoint sent);
    kj::Promise<void> waitUntilMayStop(std::function<void()> done, kj::TimePoint started);
    void scheduleFlush();
    void notifyApplied();
    void expireProposals();
    void failProposals(ProposeStatus status, const std::function<bool(const PendingProposal&)>& fails);
    void logFault();
    void logLeaderChange();
    void logElection();
    void logLostDisks();
    void logSlowMessage(std::uint32_t to, MessageKind kind, std::size_t bytes, kj::TimePoint sent, bool answered);
    void countRouteTable(const Command& command);
    void waitForApplied(std::uint64_t index, Done done);

    net::EventLoop& m_loop;
    ClusterState& m_state;
    observe::Counters& m_counters;
    ControlWorkMeter& m_workMeter;
    const std::function<void()> m_applied;
    const settings::ControlSettings m_settings;
    FolderFiles m_files;
    std::map<std::uint32_t, kj::Own<Peer>> m_peers;
    std::multimap<std::uint64_t, PendingProposal> m_pendingProposals; // by index
    std::multimap<std::uint64_t, PendingProposal> m_pendingForwards; // by the index that must be applied first
    std::uint64_t m_appliedIndex = 0;
    IncomingTransfers m_incoming;
    bool m_stateChanged = false;
    bool m_flushScheduled = false;
    bool m_faultLogged = false;
    std::uint32_t m_loggedLeader = 0;
    std::uint64_t m_loggedTerm = 0;
    std::uint64_t m_loggedElections = 0;
    std::set<std::uint64_t> m_loggedLostDisks;
    kj::Own<QuorumReplica> m_replica; // null without a disk and until the data folder is locked
    std::optional<QuorumRelay> m_relay; // without a disk only
    kj::TaskSet m_tasks; // last member, so that it is destroyed first
};

} // namespace yuccahook::control
