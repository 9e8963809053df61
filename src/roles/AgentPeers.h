#pragma once

#include "flow/AgentFlows.h"
#include "net/EventLoopThread.h"
#include "net/TrunkPool.h"
#include "observe/Counters.h"
#include "trunk.capnp.h"

namespace yuccahook::roles {

/// Sends and receives the messages of the flow directory between the agents of a service. A message that cannot be
/// sent is dropped and counted, because the directory repeats those that matter.
class AgentPeers {
public:
    AgentPeers(net::EventLoop& loop, observe::Counters& counters, flow::AgentFlows& flows);
    AgentPeers(const AgentPeers&) = delete;
    AgentPeers& operator=(const AgentPeers&) = delete;

    /// The capability through which peers send messages; this object must outlive their connections.
    schema::FlowPeer::Client peer();

    /// Uses a new membership and sends the messages that the directory produced for it.
    void setMembership(flow::MembershipPointer membership);

private:
    class Server;
    friend class Server;

    flow::Time now() const;
    kj::Promise<void> tick();
    void flush();
    void send(const flow::PeerMessage& message);
    void publishCounts();

    net::EventLoop& m_loop;
    flow::AgentFlows& m_flows;
    flow::MembershipPointer m_membership;
    net::TrunkPool m_pool;
    std::size_t m_inFlight = 0;
    observe::Counter& m_sent;
    observe::Counter& m_failed;
    observe::Counter& m_opened;
    observe::Counter& m_placed;
    observe::Counter& m_declined;
    observe::Counter& m_bucketsTakenOver;
    observe::Counter& m_bucketsRecovered;
    observe::Counter& m_bucketsWaiting;
    observe::Counter& m_conflicts;
    observe::Counter& m_directoryEntries;
};

} // namespace yuccahook::roles
