#pragma once

#include "request/AdmissionGate.h"
#include "trunk.capnp.h"

#include <kj/async-io.h>
#include <kj/function.h>

namespace yuccahook::request {

/// Handles offers from other agents of the service with slots from this agent's gate.
class PeerOfferServer final : public schema::SlotPeer::Server {
public:
    using Connector = kj::Function<kj::Promise<kj::Own<kj::AsyncIoStream>>()>;

    /// `connector` opens a connection to the backend server. The gate must outlive the server's calls.
    PeerOfferServer(kj::Timer& timer, AdmissionGate& gate, Connector connector);

    kj::Promise<void> offer(OfferContext context) override;

private:
    kj::Timer& m_timer;
    AdmissionGate& m_gate;
    Connector m_connector;
};

} // namespace yuccahook::request
