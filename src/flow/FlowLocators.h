#pragma once

#include "flow/AgentDirectory.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccahook::flow {

/// Ranks the agents of a service as locators of a flow, by rendezvous hash over their trunk addresses. Instances with
/// the same membership get the same ranks.
class FlowLocators {
public:
    /// A service with no more agents has no locators: a balancer's queries to so few agents take little more than the
    /// packet itself.
    static constexpr std::size_t maximumWithoutLocator = 8;

    void setAgents(const std::vector<AgentDirectory::Agent>& agents);

    /// The trunk of the flow's locator at `rank`, 0 or 1. Empty if the service has none.
    std::optional<PacketEndpoint> locator(std::uint32_t service, const PacketFlow& flow, std::size_t rank = 0) const;

    /// The trunks of all agents of a service, whatever their state. Empty if none is known.
    const std::vector<PacketEndpoint>& agentsOf(std::uint32_t service) const;

private:
    struct Service {
        std::vector<PacketEndpoint> agents;
        std::vector<PacketEndpoint> ready;
    };

    std::unordered_map<std::uint32_t, Service> m_services;
};

} // namespace yuccahook::flow
