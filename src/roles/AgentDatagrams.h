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

/// The datagram flows open at an agent, and the trunk's socket.
class AgentDatagrams {
public:
    /// Throws when the trunk's address is not to be had.
    AgentDatagrams(
        const net::Address& trunk, net::EventLoop& loop, observe::Counters& counters, flow::AgentFlows& flows);
    AgentDatagrams(const AgentDatagrams&) = delete;
    AgentDatagrams& operator=(const AgentDatagrams&) = delete;

    void setMembership(flow::MembershipPointer membership, std::uint32_t member);
    void setBackend(const net::Address& address) { m_backend = address; }

    std::size_t size() const { return m_open.size(); }

    /// Called when a flow was opened or has expired.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    /// A flow open here: its own socket, so that the backend server tells callers apart.
    struct Flow {
        std::unique_ptr<net::DatagramSocket> socket;
        kj::Own<kj::UnixEventPort::FdObserver> observer;
        net::Address balancer; ///< Who sent the last packet, and takes the replies.
        kj::Promise<void> replies = nullptr;
    };

    flow::Time now() const;
    kj::Promise<void> takeTrunk();
    void addToBatch(const net::Address& source, net::Bytes bytes);
    void fromTrunk(const net::TrunkDatagram& datagram);
    void open(const net::TrunkDatagram& datagram);
    void deliver(const net::TrunkDatagram& datagram);
    kj::Promise<void> takeReplies(flow::FlowKey key, Flow& flow);
    void forward(std::uint32_t member, net::TrunkDatagram datagram, const flow::Routing& routing);
    void ask(const net::TrunkDatagram& datagram, flow::Routing routing);
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
    net::TrunkEncoder m_buffer;
    std::vector<net::TrunkDatagram> m_batch; // keeps its memory
    std::unordered_map<flow::FlowKey, std::unique_ptr<Flow>> m_open;
    std::function<void()> m_onChange = [] {};
    observe::Counter& m_forwarded;
    observe::Counter& m_probes;
    observe::Counter& m_dropped;
};

} // namespace yuccahook::roles
