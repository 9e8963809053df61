#include "flow/AgentFlows.h"

namespace yuccahook::flow {

namespace {

constexpr std::uint8_t maximumHops = 4;

Decision refuse(RefusalReason reason) { return { Verdict::Refuse, 0, reason }; }

} // namespace

AgentFlows::AgentFlows(std::size_t maximumFlows)
    : m_maximumFlows(maximumFlows)
{
}

void AgentFlows::setMembership(MembershipPointer membership, std::uint32_t self)
{
    m_map = std::make_unique<BucketMap>(std::move(membership));
    m_self = self;
}

Decision AgentFlows::decide(const Packet& packet, Time now)
{
    if (const auto found = m_flows.find(packet.key); found != m_flows.end()) {
        found->second.lastSeen = now;
        return { Verdict::Deliver, m_self, RefusalReason::None };
    }
    const Member* self = m_map ? m_map->membership().member(m_self) : nullptr;
    if (!self)
        return refuse(RefusalReason::UnknownMember);
    if (self->service != packet.key.service)
        return refuse(RefusalReason::WrongService);
    const Member* owner = m_map->ownerOf(packet.key);
    if (owner && owner->id != m_self) {
        if (packet.hops >= maximumHops)
            return refuse(RefusalReason::TooManyHops);
        return { Verdict::Forward, owner->id, RefusalReason::None };
    }
    const ServiceSpec* service = m_map->membership().service(packet.key.service);
    if (!service || service->withdrawn)
        return refuse(RefusalReason::Withdrawn);
    if (m_draining)
        return refuse(RefusalReason::Draining);
    if (m_flows.size() >= m_maximumFlows)
        return refuse(RefusalReason::TableFull);
    m_flows.emplace(packet.key, Entry { now });
    return { Verdict::Open, m_self, RefusalReason::None };
}

void AgentFlows::close(const FlowKey& key) { m_flows.erase(key); }

std::vector<FlowKey> AgentFlows::expire(Time now)
{
    std::vector<FlowKey> expired;
    for (const auto& [key, entry] : m_flows) {
        const ServiceSpec* service = m_map ? m_map->membership().service(key.service) : nullptr;
        const Time idle = std::chrono::seconds(service ? service->idleSeconds : 0);
        if (now - entry.lastSeen >= idle)
            expired.push_back(key);
    }
    for (const auto& key : expired)
        m_flows.erase(key);
    return expired;
}

} // namespace yuccahook::flow
