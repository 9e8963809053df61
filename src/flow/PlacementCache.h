#pragma once

#include "flow/PacketFlow.h"

#include <cstdint>
#include <unordered_map>
#include <utility>

namespace yuccahook::flow {

/// The agent that a balancer last sent a flow to. The entries are hints: a flow whose entry is missing or wrong is
/// found by a search.
class PlacementCache {
public:
    struct Placement {
        PacketEndpoint agent;
        std::uint64_t sentMillis = 0; ///< 0 once the agent has replied.
    };

    /// The flow's placement, or null. Valid until the next call.
    Placement* find(const PacketFlow& flow)
    {
        if (const auto found = m_young.find(flow); found != m_young.end())
            return &found->second;
        const auto old = m_old.find(flow);
        if (old == m_old.end())
            return nullptr;
        return &m_young.insert_or_assign(flow, old->second).first->second;
    }

    void set(const PacketFlow& flow, const Placement& placement)
    {
        if (m_young.size() >= maximumEntries)
            age();
        m_young.insert_or_assign(flow, placement);
    }

    void erase(const PacketFlow& flow)
    {
        m_young.erase(flow);
        m_old.erase(flow);
    }

    /// Drops the entries that were not used since the previous call.
    void age() { m_old = std::exchange(m_young, {}); }

    std::size_t size() const { return m_young.size(); }

private:
    static constexpr std::size_t maximumEntries = 100'000; // about 6 MB

    std::unordered_map<PacketFlow, Placement> m_young;
    std::unordered_map<PacketFlow, Placement> m_old;
};

} // namespace yuccahook::flow
