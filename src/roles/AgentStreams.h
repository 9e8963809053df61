#pragma once

#include "flow/AgentFlows.h"
#include "net/EventLoopThread.h"
#include "net/StreamRelay.h"
#include "observe/Counters.h"
#include "roles/AgentRequests.h"

#include <functional>
#include <kj/async-io.h>
#include <map>
#include <memory>
#include <optional>

namespace yuccahook::roles {

/// The streams that are open at an agent. Balancers open them, and resume them after a trunk is lost. The agent
/// itself serves the streams of HTTP services; it relays the others to the backend server.
class AgentStreams {
public:
    AgentStreams(net::EventLoop& loop, observe::Counters& counters, flow::AgentFlows& flows, AgentRequests& requests);
    ~AgentStreams();
    AgentStreams(const AgentStreams&) = delete;
    AgentStreams& operator=(const AgentStreams&) = delete;

    /// The capability that balancers use; this object must outlive their connections.
    schema::StreamTrunk::Client trunk();

    void setMembership(flow::MembershipPointer membership, std::uint32_t member);
    void setBackend(const net::Address& address);

    /// Ends the streams of HTTP services after the answer in progress. The flow table refuses new streams.
    void drain();

    std::size_t size() const { return m_streams.size(); }

    /// Sets the function to call after a stream opens or ends.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    class Server;
    friend class Server;

    struct Stream {
        flow::FlowKey key;
        kj::Own<net::StreamRelay> relay;
        kj::Own<request::HttpFrontend::Session> session; // null unless of an HTTP service
        std::uint64_t transferredAtProbe = 0; // bytes
    };

    flow::Time now() const;
    kj::Promise<kj::Own<net::StreamRelay>> open(std::uint64_t id, const flow::FlowKey& key);
    kj::Own<net::StreamRelay> add(std::uint64_t id, Stream stream);
    void finish(std::uint64_t id);
    void close(std::uint64_t id);
    kj::Promise<void> resetUnlessResumed(std::uint64_t id);
    kj::Promise<void> probeIdleStreams();
    bool withdrawalPeriodEnded();

    net::EventLoop& m_loop;
    observe::Counters& m_counters;
    flow::AgentFlows& m_flows;
    AgentRequests& m_requests;
    flow::MembershipPointer m_membership;
    std::uint32_t m_member = 0;
    std::optional<net::Address> m_backend;
    std::optional<flow::Time> m_withdrawnSince;
    std::map<std::uint64_t, Stream> m_streams; // by stream id
    std::function<void()> m_onChange = [] {};
};

} // namespace yuccahook::roles
