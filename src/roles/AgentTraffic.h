#pragma once

#include "flow/AgentFlows.h"
#include "net/DatagramSocket.h"
#include "net/LoopThread.h"
#include "net/TrunkDatagram.h"
#include "observe/Counters.h"
#include "roles/AgentRequests.h"
#include "roles/AgentStreams.h"
#include "settings/Settings.h"

#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace yuccahook::roles {

/// The traffic of an agent: flows and requests of its backend server, on one thread.
class AgentTraffic {
public:
    AgentTraffic(std::string name, const settings::AgentSettings& settings, net::Loop& loop,
        observe::Counters& counters, std::atomic<std::uint64_t>& openFlows);
    ~AgentTraffic();
    AgentTraffic(const AgentTraffic&) = delete;
    AgentTraffic& operator=(const AgentTraffic&) = delete;

    void setMembership(flow::MembershipPointer membership);

    /// Which member of the membership this agent is, with its name.
    void setIncarnation(std::uint64_t incarnation);

    /// Where the backend server takes its traffic.
    void setBackend(const net::Address& address);

    /// Refuses new work from now on.
    void drain();

private:
    class Node;
    friend class Node;

    /// A datagram flow open here: its own socket, so that the backend server tells callers apart.
    struct DatagramFlow {
        std::unique_ptr<net::DatagramSocket> socket;
        kj::Own<kj::UnixEventPort::FdObserver> observer;
        net::Address balancer; ///< Who sent the last packet, and takes the replies.
        kj::Promise<void> replies = nullptr;
    };

    void applyMembership();
    std::uint32_t findSelf() const;
    flow::Time now() const;
    kj::Promise<void> takeTrunk();
    void fromTrunk(const net::Address& source, net::TrunkDatagram datagram);
    void openDatagramFlow(const net::TrunkDatagram& datagram);
    kj::Promise<void> takeReplies(flow::FlowKey key, DatagramFlow& flow);
    void forward(std::uint32_t member, net::TrunkDatagram datagram);
    void refuse(const net::TrunkDatagram& datagram, flow::RefusalReason reason);
    kj::Promise<void> acceptTrunks();
    kj::Promise<void> expireIdle();
    void countFlows();

    const std::string m_name;
    const settings::AgentSettings m_settings;
    net::Loop& m_loop;
    observe::Counters& m_counters;
    std::atomic<std::uint64_t>& m_openFlows;
    flow::AgentFlows m_flows;
    AgentRequests m_requests;
    AgentStreams m_streams;
    flow::MembershipPointer m_membership;
    std::uint64_t m_incarnation = 0;
    std::uint32_t m_member = 0; // 0 before it has joined
    std::optional<net::Address> m_backend;
    std::unique_ptr<net::DatagramSocket> m_trunk;
    kj::Own<kj::UnixEventPort::FdObserver> m_trunkObserver;
    net::TrunkBuffer m_buffer;
    std::unordered_map<flow::FlowKey, std::unique_ptr<DatagramFlow>> m_datagramFlows;
    kj::Own<capnp::TwoPartyServer> m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
};

} // namespace yuccahook::roles
