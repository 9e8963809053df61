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

/// The traffic of an agent: flows and requests of its backend server, on one thread.
class AgentTraffic {
public:
    AgentTraffic(std::string name, const settings::AgentSettings& settings, net::EventLoop& loop,
        observe::Counters& counters, std::atomic<std::uint64_t>& openFlows);
    ~AgentTraffic();
    AgentTraffic(const AgentTraffic&) = delete;
    AgentTraffic& operator=(const AgentTraffic&) = delete;

    void setMembership(flow::MembershipPointer membership);

    /// Which member of the membership this agent is, with its name.
    void setIncarnation(std::uint64_t incarnation);

    /// Where the backend server takes its traffic.
    void setBackend(const net::Address& address);

    /// How many requests it takes at once.
    void setSlots(std::uint32_t slots);

    /// Refuses new work from now on.
    void drain();

private:
    class Node;
    friend class Node;

    void applyMembership();
    std::uint32_t findSelf() const;
    kj::Promise<void> acceptTrunks();
    void countFlows();

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
    std::uint32_t m_member = 0; // 0 before it has joined
    kj::Own<capnp::TwoPartyServer> m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
};

} // namespace yuccahook::roles
