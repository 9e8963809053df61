#pragma once

#include "control.capnp.h"
#include "control/ClusterState.h"
#include "control/CommandLog.h"
#include "control/QuorumReplica.h"
#include "net/EventLoopThread.h"
#include "observe/Counters.h"
#include "settings/Settings.h"

#include <capnp/rpc-twoparty.h>
#include <functional>
#include <kj/async.h>
#include <map>
#include <optional>
#include <string>

namespace yuccahook::control {

/// The log that the control instances replicate: the replica's way to its files, its peers and the applied state.
/// Lives on the control thread, on which it also syncs.
class QuorumLog final : public CommandLog, private QuorumHost, private kj::TaskSet::ErrorHandler {
public:
    /// Called with a status and, once committed, the index.
    using Placed = std::function<void(ProposeStatus, std::uint64_t index)>;

    /// `applied` is called after entries were applied to `state`. Throws when the data folder can't be used.
    QuorumLog(const settings::ControlSettings& settings, net::EventLoop& loop, ClusterState& state,
        observe::Counters& counters, std::function<void()> applied);
    ~QuorumLog() noexcept override;

    /// A follower sends the command to the leader.
    void propose(const Command& command, Done done) override;
    bool leads() const override;
    bool current() const override;

    /// Whether this instance takes part; false for a relay, which has no disk, and while the journal can't be used.
    bool runs() const { return m_replica.get() && m_replica->runs(); }

    /// A command that another instance sent on; refused when this one does not lead.
    void proposeHere(std::string command, Placed placed);

    /// A message of another instance.
    void deliver(const std::string& message);

    /// The leader's interface, while this instance follows one and is connected to it.
    kj::Maybe<schema::Control::Client> leader();

    /// RPC addresses of the instances that vote.
    std::vector<net::Address> voters() const;

    /// More instances to ask for the quorum, by RPC address.
    void addDiscoveryPeers(const std::vector<net::Address>& addresses);

    /// Gives the lead away; `done` is called once another leads, or soon after when none takes it.
    void handOver(std::function<void()> done);

private:
    struct Peer;
    struct Waiting {
        std::uint64_t term = 0;
        Placed placed;
        kj::TimePoint until;
    };

    void send(const QuorumMessage& message) override;
    void apply(std::uint64_t index, const QuorumEntry& entry) override;
    void restore(const QuorumSnapshot& snapshot) override;
    std::string saveState() override;
    void taskFailed(kj::Exception&& exception) override;

    std::uint64_t nowMillis() const;
    kj::Promise<void> keepTicking();
    std::optional<JournalFault> fault() const
    {
        return m_replica.get() ? m_replica->fault() : std::optional<JournalFault> {};
    }
    void openReplica();
    void answerAsRelay(const QuorumMessage& message);
    void reopenAfterFault();
    Peer& peer(std::uint32_t id);
    std::string peerName(std::uint32_t id) const { return addressOf(id).text(); }
    net::Address addressOf(std::uint32_t id) const;
    void connect(Peer& peer);
    kj::Promise<void> waitForOtherLeader(std::function<void()> done, kj::TimePoint until);
    void flushSoon();
    void finishApplied();
    void giveUpWaiting();
    void reportFault();
    void reportLeader();
    void waitForApplied(std::uint64_t index, Done done);

    net::EventLoop& m_loop;
    ClusterState& m_state;
    observe::Counters& m_counters;
    const std::function<void()> m_applied;
    const settings::ControlSettings m_settings;
    FolderFiles m_files;
    std::map<std::uint32_t, kj::Own<Peer>> m_peers;
    std::multimap<std::uint64_t, Waiting> m_proposed; // by index
    std::multimap<std::uint64_t, Waiting> m_forwarded; // by the index to apply first
    std::uint64_t m_appliedIndex = 0;
    bool m_changed = false;
    bool m_flushing = false;
    bool m_faultReported = false;
    std::uint32_t m_reportedLeader = 0;
    std::uint64_t m_reportedTerm = 0;
    kj::TimePoint m_reopenAt = kj::origin<kj::TimePoint>();
    kj::Own<QuorumReplica> m_replica;
    kj::TaskSet m_tasks; // last, so that it ends first
};

} // namespace yuccahook::control
