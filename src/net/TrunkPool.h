#pragma once

#include "flow/Membership.h"
#include "net/EventLoopThread.h"
#include "trunk.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <cstdint>
#include <kj/async-io.h>
#include <map>

namespace yuccahook::net {

/// The RPC connections from one event loop to agents. A connection is opened when it is first needed and checked by
/// heartbeats: without a reply to a heartbeat it is dropped, so that its calls fail instead of hanging.
class TrunkPool {
public:
    explicit TrunkPool(EventLoop& loop);
    TrunkPool(const TrunkPool&) = delete;
    TrunkPool& operator=(const TrunkPool&) = delete;

    /// Resolves to a connection to the agent; fails when the agent cannot be reached within 1 s.
    kj::Promise<schema::AgentNode::Client> connect(const flow::Member& member);

    /// Drops the connections to agents that are not in `membership`, except those still being opened.
    void retainMembers(const flow::Membership& membership);

    std::size_t size() const { return m_connections.size(); }

private:
    struct Connection {
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient rpc;
        schema::AgentNode::Client node;
        kj::Promise<void> heartbeats = nullptr;

        explicit Connection(kj::Own<kj::AsyncIoStream> connected);
    };

    struct Entry {
        kj::Maybe<kj::Own<Connection>> connection;
        kj::ForkedPromise<void> ready = nullptr;
        bool connecting = false;
    };

    kj::Promise<void> openConnection(std::uint32_t member, const Address& address);
    kj::Promise<void> sendHeartbeats(std::uint32_t member, Connection& connection);
    void dropConnection(std::uint32_t member);

    EventLoop& m_loop;
    std::map<std::uint32_t, Entry> m_connections; // by member id
};

} // namespace yuccahook::net
