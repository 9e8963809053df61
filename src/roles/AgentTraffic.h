#pragma once

#include "flow/AgentFlows.h"
#include "net/EventLoopThread.h"
#include "observe/Counters.h"
#include "roles/AgentDatagrams.h"
#include "roles/AgentPeers.h"
#include "roles/AgentRequests.h"
#include "roles/AgentStreams.h"
#include "settings/Settings.h"

#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <memory>
#include <string>

namespace yuccahook::roles {

/// The traffic of an agent: the flows and requests of its backend server. Used on the agent's traffic thread only.
class AgentTraffic {
public:
    AgentTraffic(std::string name, const settings::AgentSettings& settings, net::EventLoop& loop,
        observe::Counters& counters, std::atomic<std::uint64_t>& openFlows);
    ~AgentTraffic();
    AgentTraffic(const AgentTraffic&) = delete;
    AgentTraffic& operator=(const AgentTraffic&) = delete;

    void setMembership(flow::MembershipPointer membership);

    /// Sets the incarnation that identifies this agent, together with its name, among the members.
    void setIncarnation(std::uint64_t incarnation);

    /// Sets the address at which the backend server accepts traffic.
    void setBackend(const net::Address& address);

    /// Sets how many requests the backend server runs concurrently.
    void setSlots(std::uint32_t slots);

    /// Refuses new flows and requests from now on; open ones continue.
    void drain();

private:
    class NodeServer;
    friend class NodeServer;

    void applyMembership();
    std::uint32_t findOwnMember() const;
    kj::Promise<void> acceptTrunks();
    void updateOpenFlows();

    const std::string m_name;
    const settings::AgentSettings m_settings;
    std::atomic<std::uint64_t>& m_openFlows;
    flow::AgentFlows m_flows;
    AgentRequests m_requests;
    AgentStreams m_streams;
    AgentDatagrams m_datagrams;
    AgentPeers m_peers;
    flow::MembershipPointer m_membership;
    std::uint64_t m_incarnation = 0;
    std::uint32_t m_member = 0; // 0 until this agent is a member
    kj::Own<capnp::TwoPartyServer> m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
};

} // namespace yuccahook::roles
