#include "request/PeerSelector.h"

namespace yuccahook::request {

namespace {

constexpr AdmissionTime maximumLoadAge = std::chrono::seconds(1);

} // namespace

PeerSelector::PeerSelector(std::uint64_t seed)
    : m_random(seed)
{
}

void PeerSelector::setPeers(const std::vector<std::uint32_t>& peers)
{
    m_peers = peers;
    std::map<std::uint32_t, ReportedLoad> loads;
    for (const auto peer : peers)
        loads[peer] = m_reportedLoads[peer];
    m_reportedLoads = std::move(loads);
}

void PeerSelector::updateLoad(std::uint32_t peer, SlotLoad load, AdmissionTime now)
{
    if (const auto found = m_reportedLoads.find(peer); found != m_reportedLoads.end())
        found->second = { load, now };
}

std::optional<std::uint32_t> PeerSelector::choose(AdmissionTime now)
{
    if (m_peers.empty())
        return std::nullopt;
    const std::uint32_t first = m_peers[m_random() % m_peers.size()];
    const std::uint32_t second = m_peers[m_random() % m_peers.size()];
    const bool secondIsBetter = loadOf(second, now).perSlot() < loadOf(first, now).perSlot();
    const std::uint32_t chosen = secondIsBetter ? second : first;
    const SlotLoad load = loadOf(chosen, now);
    if (load.waiting > load.slots)
        return std::nullopt;
    return chosen;
}

SlotLoad PeerSelector::loadOf(std::uint32_t peer, AdmissionTime now) const
{
    const auto& reported = m_reportedLoads.at(peer);
    return now - reported.at <= maximumLoadAge ? reported.load : SlotLoad {};
}

} // namespace yuccahook::request
