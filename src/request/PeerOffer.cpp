#include "request/PeerOffer.h"

namespace yuccahook::request {

PeerOffer::PeerOffer(std::uint64_t seed)
    : m_random(seed)
{
}

void PeerOffer::setPeers(const std::vector<std::uint32_t>& peers)
{
    m_peers = peers;
    std::map<std::uint32_t, SlotLoad> loads;
    for (const auto peer : peers)
        loads[peer] = m_loads[peer];
    m_loads = std::move(loads);
}

void PeerOffer::heard(std::uint32_t peer, SlotLoad load)
{
    if (const auto found = m_loads.find(peer); found != m_loads.end())
        found->second = load;
}

std::optional<std::uint32_t> PeerOffer::choose()
{
    if (m_peers.empty())
        return std::nullopt;
    const std::uint32_t first = m_peers[m_random() % m_peers.size()];
    const std::uint32_t second = m_peers[m_random() % m_peers.size()];
    const std::uint32_t chosen = better(second, first) ? second : first;
    const auto& load = m_loads[chosen];
    if (load.waiting > load.slots)
        return std::nullopt;
    return chosen;
}

bool PeerOffer::better(std::uint32_t left, std::uint32_t right) const
{
    return m_loads.at(left).perSlot() < m_loads.at(right).perSlot();
}

} // namespace yuccahook::request
