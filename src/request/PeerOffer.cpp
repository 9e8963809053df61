#include "request/PeerOffer.h"

namespace yuccahook::request {

namespace {

constexpr AdmissionTime heardFor = std::chrono::seconds(1);

} // namespace

PeerOffer::PeerOffer(std::uint64_t seed)
    : m_random(seed)
{
}

void PeerOffer::setPeers(const std::vector<std::uint32_t>& peers)
{
    m_peers = peers;
    std::map<std::uint32_t, Heard> heard;
    for (const auto peer : peers)
        heard[peer] = m_heard[peer];
    m_heard = std::move(heard);
}

void PeerOffer::heard(std::uint32_t peer, SlotLoad load, AdmissionTime now)
{
    if (const auto found = m_heard.find(peer); found != m_heard.end())
        found->second = { load, now };
}

std::optional<std::uint32_t> PeerOffer::choose(AdmissionTime now)
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

SlotLoad PeerOffer::loadOf(std::uint32_t peer, AdmissionTime now) const
{
    const auto& heard = m_heard.at(peer);
    return now - heard.at <= heardFor ? heard.load : SlotLoad {};
}

} // namespace yuccahook::request
