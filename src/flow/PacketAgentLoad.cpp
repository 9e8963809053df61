#include "flow/PacketAgent.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t halfOpenTimeoutMillis = 5000; // longer than a caller retransmits an opening packet
constexpr std::uint64_t finishedTimeoutMillis = 5000; // for late retransmissions of the last packets
constexpr std::uint64_t expireIntervalMillis = 1000;
constexpr std::uint64_t subscribeIntervalMillis = 500;
constexpr std::uint64_t subscriptionTimeoutMillis = 2500; // several subscribe intervals
constexpr std::uint64_t localChangeIntervalMillis = 40; // at least between reports of a changed load
constexpr std::uint64_t remoteChangeIntervalMillis = 200;
constexpr std::uint64_t localRepeatIntervalMillis = 250; // at most between reports of an unchanged load
constexpr std::uint64_t remoteRepeatIntervalMillis = 500;
constexpr double assumedServiceTimeMillis = 50; // until requests have been measured; only ranks agents that are full

} // namespace

// Load reports to the balancers and agents that place flows.

AgentLoad PacketAgent::load(std::uint64_t nowMillis) const
{
    AgentLoad current;
    const auto& report = m_backend.report();
    if (!report)
        return current;
    const auto* service = m_membership->serviceNamed(report->service);
    current.accepts = service && !refusalReason(service->id, nowMillis);
    current.slots = static_cast<std::uint16_t>(std::min<std::uint32_t>(report->slots, UINT16_MAX));
    const std::size_t busy = std::max(m_flows.busy() + m_waiting.size(), coldBusy(nowMillis));
    current.busy = static_cast<std::uint16_t>(std::min<std::size_t>(busy, UINT16_MAX));
    if (usesLeastCost() && m_overload.contains(UINT8_MAX, nowMillis))
        current.pressure = m_leastCost.acceptedLevel(nowMillis);
    if (m_limits.detectsOutliers)
        current.serviceMillis = m_meter.serviceMillis();
    return current;
}

void PacketAgent::updateColdLimit(const Membership& before, std::uint64_t nowMillis)
{
    const auto* service = m_backend.report() ? m_membership->serviceNamed(m_backend.report()->service) : nullptr;
    m_cold.setLimit(service ? service->cold : ColdLimit {});
    if (before.isEvacuated(m_domainName) && !m_membership->isEvacuated(m_domainName))
        m_cold.startColdPeriod(nowMillis);
}

// The number of busy flows at which a warm backend server would accept a new flow as late as this one does under its
// cold limit. Tells the senders of new flows the effect of the limit in terms that they know; 0 without a limit.
std::size_t PacketAgent::coldBusy(std::uint64_t nowMillis) const
{
    if (!m_cold.isCold(nowMillis))
        return 0;
    const std::size_t slots = std::max<std::uint32_t>(m_backend.report()->slots, 1);
    const std::size_t available = m_cold.available(nowMillis);
    if (available > m_waiting.size())
        return slots - std::min(slots, available - m_waiting.size());
    const double serviceTimeMillis = m_serviceTimeMillis > 0 ? m_serviceTimeMillis : assumedServiceTimeMillis;
    const auto delayMillis = static_cast<double>(m_cold.delayMillis(m_waiting.size(), nowMillis));
    return slots + static_cast<std::size_t>(std::ceil(static_cast<double>(slots) * delayMillis / serviceTimeMillis));
}

void PacketAgent::addSubscriber(const PacketEndpoint& source, std::uint32_t domain, std::uint64_t nowMillis)
{
    auto [subscriber, isNew] = m_subscribers.try_emplace(source);
    subscriber->second.isLocal = domain == m_domain;
    subscriber->second.renewedMillis = nowMillis;
    if (isNew)
        sendLoad(nowMillis);
}

void PacketAgent::sendLoad(std::uint64_t nowMillis)
{
    const AgentLoad current = load(nowMillis);
    const auto bytes = encodeLoad(current);
    for (auto& [trunk, subscriber] : m_subscribers) {
        const std::uint64_t since = nowMillis - subscriber.sentMillis;
        const bool acceptsChanged = subscriber.sentLoad.accepts != current.accepts;
        const bool loadChanged = subscriber.sentLoad != current
            && since >= (subscriber.isLocal ? localChangeIntervalMillis : remoteChangeIntervalMillis);
        const bool isRepeatDue = since >= (subscriber.isLocal ? localRepeatIntervalMillis : remoteRepeatIntervalMillis);
        if (!acceptsChanged && !loadChanged && !isRepeatDue && subscriber.sentMillis != 0)
            continue;
        subscriber.sentLoad = current;
        subscriber.sentMillis = nowMillis;
        m_output.sendToTrunk(trunk, bytes);
    }
}

void PacketAgent::expire(std::uint64_t nowMillis)
{
    m_lastExpireMillis = nowMillis;
    std::erase_if(m_subscribers,
        [nowMillis](const auto& entry) { return nowMillis - entry.second.renewedMillis > subscriptionTimeoutMillis; });
    m_flows.forEach([this](const PacketFlow&, PacketFlowEntry& entry) {
        if (entry.incarnation != m_backend.incarnation())
            m_flows.setBusy(entry, false);
    });
    m_flows.eraseIf([this, nowMillis](const PacketFlowEntry& entry) {
        const std::uint64_t idle = nowMillis - entry.activeMillis;
        if (entry.callerFinished && entry.backendFinished)
            return idle > finishedTimeoutMillis;
        if (entry.state != PacketFlowState::Open)
            return idle > halfOpenTimeoutMillis;
        return idle > m_limits.maximumFlowMillis;
    });
}

void PacketAgent::tick(std::uint64_t nowMillis)
{
    m_pauseDetector.observe(nowMillis);
    forwardUnanswered(nowMillis);
    expireReservations(nowMillis);
    releaseStartupPackets(nowMillis);
    expireWaiting(nowMillis);
    acceptWaiting(nowMillis);
    forwardWaiting(nowMillis);
    if (nowMillis - m_lastExpireMillis >= expireIntervalMillis)
        expire(nowMillis);
    if (nowMillis - m_lastSubscribeMillis >= subscribeIntervalMillis) {
        m_lastSubscribeMillis = nowMillis;
        m_peers.chooseFollowed(nowMillis);
        const auto subscribe = encodeSubscribe(m_domain);
        for (const auto& peer : m_peers.agents()) {
            if (peer.isFollowed && peer.member != m_member)
                m_output.sendToTrunk(peer.trunk, subscribe);
        }
    }
    endFlowsAfterDeparture(nowMillis);
    m_locator.poll(nowMillis);
    sendLocated(nowMillis);
    registerFlows(nowMillis);
    m_meter.expire(nowMillis);
    sendLoad(nowMillis);
}

} // namespace yuccahook::flow
