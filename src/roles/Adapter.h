#pragma once

#include "flow/PacketCodec.h"
#include "net/OperatorServer.h"

namespace yuccahook::control {
class ControlNode;
}

namespace yuccahook::roles {

class PacketAgentService;

/// The components of this process that an adapter may use; null for those that the process does not run.
struct AdapterContext {
    net::OperatorServer& operatorServer;
    control::ControlNode* controlNode = nullptr;
    PacketAgentService* packetAgent = nullptr;
};

/// Translates the packet format and the HTTP interface of a site's environment to those of yuccahook.
class Adapter {
public:
    Adapter() = default;
    Adapter(const Adapter&) = delete;
    Adapter& operator=(const Adapter&) = delete;
    virtual ~Adapter() = default;

    /// Codec for the packets of packet services.
    virtual const flow::PacketCodec& packets() const = 0;

    /// Adds the HTTP routes of the environment to the operator server, before it starts. The components in `context`
    /// outlive the server.
    virtual void addRoutes(const AdapterContext& context) const = 0;
};

} // namespace yuccahook::roles
