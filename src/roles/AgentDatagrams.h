#pragma once

#include "flow/AgentFlows.h"
#include "net/DatagramSocket.h"
#include "net/EventLoopThread.h"
#include "net/TrunkDatagram.h"
#include "observe/Counters.h"

#include <functional>
#include <kj/async-io.h>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccahook::roles {

/// The datagram flows that are open at an agent, and the UDP socket of its trunk.
class AgentDatagrams {
public:
    /// Throws when the trunk address cannot be bound.
    AgentDatagrams(
        const net::Address& trunk, net::EventLoop& loop, observe::Counters& counters, flow::AgentFlows& flows);
    AgentDatagrams(const AgentDatagrams&) = delete;
    AgentDatagrams& operator=(const AgentDatagrams&) = delete;

    void setMembership(flow::MembershipPointer membership, std::uint32_t member);
    void setBackend(const net::Address& address) { m_backend = address; }

    std::size_t size() const { return m_openFlows.size(); }

    /// Sets the function to call after a flow opens and after each check for expired flows.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    /// An open flow. Each flow has a socket of its own, so that the backend server can tell callers apart.
    struct Flow {
        std::unique_ptr<net::DatagramSocket> socket;
        kj::Own<kj::UnixEventPort::FdObserver> observer;
        net::Address balancer; ///< Sender of the last datagram; replies go to it.
        kj::Promise<void> replies = nullptr;
    };

    flow::Time now() const;
    kj::Promise<void> receiveFromTrunk();
    void addToBatch(const net::Address& source, net::Bytes bytes);
    void handleForward(const net::TrunkDatagram& datagram);
    void open(const net::TrunkDatagram& datagram);
    void deliver(const net::TrunkDatagram& datagram);
    kj::Promise<void> receiveReplies(flow::FlowKey key, Flow& flow);
    void forward(std::uint32_t member, net::TrunkDatagram datagram, const flow::Routing& routing);
    void sendProbes(const net::TrunkDatagram& datagram, flow::Routing routing);
    void refuse(const net::TrunkDatagram& datagram, flow::RefusalReason reason);
    kj::Promise<void> expireIdle();

    net::EventLoop& m_loop;
    observe::Counters& m_counters;
    flow::AgentFlows& m_flows;
    flow::MembershipPointer m_membership;
    std::uint32_t m_member = 0;
    std::optional<net::Address> m_backend;
    std::unique_ptr<net::DatagramSocket> m_trunk;
    kj::Own<kj::UnixEventPort::FdObserver> m_trunkObserver;
    net::TrunkEncoder m_encoder;
    std::vector<net::TrunkDatagram> m_batch; // a member so that its memory is reused
    std::unordered_map<flow::FlowKey, std::unique_ptr<Flow>> m_openFlows;
    std::function<void()> m_onChange = [] {};
    observe::Counter& m_forwarded;
    observe::Counter& m_probes;
    observe::Counter& m_unknownProbes;
};

} // namespace yuccahook::roles
