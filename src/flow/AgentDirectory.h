#pragma once

#include "flow/Membership.h"
#include "flow/PacketEnvelope.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccahook::flow {

/// A hash of a failure domain's name that every instance computes alike.
std::uint32_t domainHash(std::string_view domain);

/// The agents that may take new flows of packet services, with their loads as last heard.
class AgentDirectory {
public:
    /// An agent, and what is known of its load.
    struct Agent {
        std::uint32_t member = 0;
        std::uint32_t service = 0;
        PacketEndpoint trunk;
        bool isLocal = false; ///< In this instance's failure domain.
        MemberState state = MemberState::Ready;
        AgentLoad load; ///< Raised by flows sent since.
        std::optional<std::uint64_t> heardMillis;
    };

    AgentDirectory(std::string domain, std::uint64_t seed);

    /// Keeps what was heard of agents that stay.
    void setMembership(const Membership& membership);

    /// Notes a load; false when no agent has that address.
    bool report(const PacketEndpoint& trunk, const AgentLoad& load, std::uint64_t nowMillis);

    /// Counts a flow that was sent to an agent until its next report.
    void addFlow(const PacketEndpoint& trunk);

    /// The agent for a new flow: near ones with a free slot, then any with one, then the least loaded, then those not
    /// heard of. Null when the service has no other agent.
    const Agent* choose(std::uint32_t service, const std::vector<std::uint32_t>& excluded, std::uint64_t nowMillis);

    const Agent* at(const PacketEndpoint& trunk) const;
    const std::vector<Agent>& agents() const { return m_agents; }

    /// Whether the agent's reports are recent.
    static bool isHeard(const Agent& agent, std::uint64_t nowMillis);

private:
    std::uint64_t rank(const Agent& agent, std::uint64_t nowMillis);

    const std::string m_domain;
    std::mt19937_64 m_random;
    std::vector<Agent> m_agents;
    std::unordered_map<PacketEndpoint, std::size_t> m_byTrunk;
};

} // namespace yuccahook::flow
