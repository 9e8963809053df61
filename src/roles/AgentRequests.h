#pragma once

#include "flow/Membership.h"
#include "net/Address.h"
#include "net/EventLoopThread.h"
#include "net/TrunkPool.h"
#include "observe/Counters.h"
#include "request/AdmissionGate.h"
#include "request/ClaimCoordinator.h"
#include "request/HttpFrontend.h"
#include "request/PeerOfferTransport.h"

#include <cstdint>
#include <kj/async-io.h>
#include <optional>

namespace yuccahook::roles {

/// The requests at an agent: the HTTP frontend with its admission gate and claims, and the connections to peers.
class AgentRequests {
public:
    AgentRequests(net::EventLoop& loop, observe::Counters& counters);
    AgentRequests(const AgentRequests&) = delete;
    AgentRequests& operator=(const AgentRequests&) = delete;

    void setMembership(const flow::MembershipPointer& membership, std::uint32_t member);
    void setBackend(const net::Address& address) { m_backend = address; }

    /// Sets how many requests the backend server runs concurrently.
    void setSlots(std::uint32_t slots) { m_gate.setSlots(slots); }

    /// Offers new requests to peers from now on, and refuses those that no peer accepts within a short time.
    void drain() { m_gate.drain(); }

    /// Serves a caller's HTTP stream until it ends.
    kj::Own<request::HttpFrontend::Session> serve(kj::Own<kj::AsyncIoStream> stream);

    /// The capabilities that peers use; this object must outlive their connections.
    schema::RequestPeer::Client peer() { return m_claims.peer(); }
    schema::SlotPeer::Client slots();

private:
    kj::Promise<kj::Own<kj::AsyncIoStream>> connectBackend();

    net::EventLoop& m_loop;
    std::optional<net::Address> m_backend;
    net::TrunkPool m_peers;
    request::ClaimCoordinator m_claims;
    request::PeerOfferTransport m_offers;
    request::AdmissionGate m_gate;
    request::HttpFrontend m_front;
};

} // namespace yuccahook::roles
