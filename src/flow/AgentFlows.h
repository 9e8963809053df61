#pragma once

#include "flow/BucketMap.h"
#include "flow/Packet.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace yuccahook::flow {

/// The flows of one agent: decides for each packet whether it belongs to a flow here, opens one, or goes to another
/// agent. No sockets and no clock of its own.
class AgentFlows {
public:
    explicit AgentFlows(std::size_t maximumFlows);

    /// The newest membership and this agent's id in it (0 before it has one).
    void setMembership(MembershipPointer membership, std::uint32_t self);

    /// No new flow is opened from now on.
    void drain() { m_draining = true; }

    Decision decide(const Packet& packet, Time now);

    void close(const FlowKey& key);

    /// Closes and returns the flows that have been idle for their service's period.
    std::vector<FlowKey> expire(Time now);

    std::size_t size() const { return m_flows.size(); }
    std::uint32_t self() const { return m_self; }
    const BucketMap* map() const { return m_map.get(); }

private:
    struct Entry {
        Time lastSeen;
    };

    const std::size_t m_maximumFlows;
    std::unique_ptr<BucketMap> m_map;
    std::uint32_t m_self = 0;
    bool m_draining = false;
    std::unordered_map<FlowKey, Entry> m_flows;
};

} // namespace yuccahook::flow
