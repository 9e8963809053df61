#include "flow/PacketAgent.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t halfOpenMillis = 5000; // above a caller's last copy of an opening packet
constexpr std::uint64_t finishedMillis = 5000; // for late copies of the last packets
constexpr std::uint64_t expireMillis = 1000;
constexpr std::uint64_t subscribeMillis = 500;
constexpr std::uint64_t subscriberMillis = 2500; // several renewals
constexpr std::uint64_t localChangeMillis = 40; // a changed load is told no more often
constexpr std::uint64_t remoteChangeMillis = 200;
constexpr std::uint64_t localRepeatMillis = 250; // an unchanged one no less often
constexpr std::uint64_t remoteRepeatMillis = 500;

} // namespace

// Load: told to those who place flows.

AgentLoad PacketAgent::load(std::uint64_t nowMillis) const
{
    AgentLoad now;
    const auto& report = m_backend.report();
    if (!report)
        return now;
    const auto* service = m_membership->serviceNamed(report->service);
    now.accepts = service && !obstacle(service->id, nowMillis);
    now.slots = static_cast<std::uint16_t>(std::min<std::uint32_t>(report->slots, UINT16_MAX));
    now.busy = static_cast<std::uint16_t>(std::min<std::size_t>(m_flows.busy() + m_waiting.size(), UINT16_MAX));
    return now;
}

void PacketAgent::noteSubscriber(const PacketEndpoint& source, std::uint32_t domain, std::uint64_t nowMillis)
{
    auto [place, isNew] = m_subscribers.try_emplace(source);
    place->second.isLocal = domain == m_domain;
    place->second.heardMillis = nowMillis;
    if (isNew)
        tellLoad(nowMillis);
}

void PacketAgent::tellLoad(std::uint64_t nowMillis)
{
    const AgentLoad current = load(nowMillis);
    const auto bytes = encodeLoad(current);
    for (auto& [trunk, subscriber] : m_subscribers) {
        const std::uint64_t since = nowMillis - subscriber.toldMillis;
        const bool turned = subscriber.told.accepts != current.accepts;
        const bool changed
            = subscriber.told != current && since >= (subscriber.isLocal ? localChangeMillis : remoteChangeMillis);
        const bool due = since >= (subscriber.isLocal ? localRepeatMillis : remoteRepeatMillis);
        if (!turned && !changed && !due && subscriber.toldMillis != 0)
            continue;
        subscriber.told = current;
        subscriber.toldMillis = nowMillis;
        m_output.sendToTrunk(trunk, bytes);
    }
}

void PacketAgent::expire(std::uint64_t nowMillis)
{
    m_expiredMillis = nowMillis;
    std::erase_if(m_subscribers,
        [nowMillis](const auto& entry) { return nowMillis - entry.second.heardMillis > subscriberMillis; });
    m_flows.forEach([this](PacketFlowEntry& entry) {
        if (entry.incarnation != m_backend.incarnation())
            m_flows.setBusy(entry, false);
    });
    m_flows.eraseIf([this, nowMillis](const PacketFlowEntry& entry) {
        const std::uint64_t idle = nowMillis - entry.activeMillis;
        if (entry.callerFinished && entry.backendFinished)
            return idle > finishedMillis;
        if (entry.state != PacketFlowState::Open)
            return idle > halfOpenMillis;
        return idle > m_limits.maximumFlowMillis;
    });
}

void PacketAgent::tick(std::uint64_t nowMillis)
{
    m_pauses.note(nowMillis);
    passOnUnanswered(nowMillis);
    endReservations(nowMillis);
    releaseHeld(nowMillis);
    endWaiting(nowMillis);
    serveWaiting(nowMillis);
    shareWaiting(nowMillis);
    if (nowMillis - m_expiredMillis >= expireMillis)
        expire(nowMillis);
    if (nowMillis - m_subscribedMillis >= subscribeMillis) {
        m_subscribedMillis = nowMillis;
        const auto subscribe = encodeSubscribe(m_domain);
        for (const auto& peer : m_peers.agents()) {
            if (peer.member != m_member)
                m_output.sendToTrunk(peer.trunk, subscribe);
        }
    }
    tellLoad(nowMillis);
}

} // namespace yuccahook::flow
