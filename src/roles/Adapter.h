#pragma once

#include "flow/PacketCodec.h"
#include "net/OperatorServer.h"

namespace yuccahook::control {
class ControlNode;
}

namespace yuccahook::roles {

class AgentPackets;

/// What an adapter may serve; null for what a process does not run.
struct ProcessParts {
    net::OperatorServer& routes;
    control::ControlNode* control = nullptr;
    AgentPackets* agent = nullptr;
};

/// Translates between the environment that a site runs in and the product.
class Adapter {
public:
    Adapter() = default;
    Adapter(const Adapter&) = delete;
    Adapter& operator=(const Adapter&) = delete;
    virtual ~Adapter() = default;

    /// How packets of packet services are laid out.
    virtual const flow::PacketCodec& packets() const = 0;

    /// Adds the environment's calls. The parts outlive the server.
    virtual void addRoutes(const ProcessParts& parts) const = 0;
};

} // namespace yuccahook::roles
