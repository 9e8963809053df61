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

/// The requests at an agent: the HTTP front with its gate and claims, and the connections to other agents.
class AgentRequests {
public:
    AgentRequests(net::EventLoop& loop, observe::Counters& counters);
    AgentRequests(const AgentRequests&) = delete;
    AgentRequests& operator=(const AgentRequests&) = delete;

    void setMembership(const flow::MembershipPointer& membership, std::uint32_t member);
    void setBackend(const net::Address& address) { m_backend = address; }

    /// How many requests the backend server takes at once.
    void setSlots(std::uint32_t slots) { m_gate.setSlots(slots); }

    /// Sends new requests to peers, and refuses what none takes a little later.
    void drain() { m_gate.drain(); }

    /// Serves a caller's stream until it ends.
    kj::Own<request::HttpFrontend::Session> serve(kj::Own<kj::AsyncIoStream> stream);

    /// The capability that other agents use; this object must outlive its connections.
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
