#include "flow/OpeningQueue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace yuccahook::flow {

OpeningQueue::OpeningQueue()
{
    static const GoalOrder goalOrder;
    m_order = &goalOrder;
}

bool OpeningQueue::add(WaitingOpening opening)
{
    if (m_waiting.size() >= maximumPackets)
        return false;
    m_waiting.push_back(std::move(opening));
    return true;
}

bool OpeningQueue::contains(const PacketFlow& flow) const
{
    return std::any_of(
        m_waiting.begin(), m_waiting.end(), [&flow](const WaitingOpening& opening) { return opening.flow == flow; });
}

std::optional<WaitingOpening> OpeningQueue::popNext(std::uint64_t nowMillis, const MayStart& mayStart)
{
    auto first = m_waiting.end();
    for (auto candidate = m_waiting.begin(); candidate != m_waiting.end(); ++candidate) {
        if (mayStart && !mayStart(candidate->kind))
            continue;
        if (first == m_waiting.end() || m_order->rank(*candidate, nowMillis) < m_order->rank(*first, nowMillis))
            first = candidate;
    }
    if (first == m_waiting.end())
        return std::nullopt;
    std::optional<WaitingOpening> removed = std::move(*first);
    m_waiting.erase(first);
    return removed;
}

std::vector<WaitingOpening> OpeningQueue::popExpired(std::uint64_t nowMillis)
{
    const auto expired = std::stable_partition(m_waiting.begin(), m_waiting.end(),
        [nowMillis](const WaitingOpening& opening) { return nowMillis < opening.waitEndMillis; });
    std::vector<WaitingOpening> removed(std::make_move_iterator(expired), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(expired, m_waiting.end());
    return removed;
}

std::vector<WaitingOpening> OpeningQueue::popAll() { return std::exchange(m_waiting, {}); }

std::size_t OpeningQueue::countAhead(const WaitingOpening& opening, std::uint64_t nowMillis) const
{
    const auto rank = m_order->rank(opening, nowMillis);
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
        [this, &rank, nowMillis](const WaitingOpening& other) { return m_order->rank(other, nowMillis) <= rank; }));
}

double OpeningQueue::workAheadMillis(const WaitingOpening& opening, std::uint64_t nowMillis, const WorkOf& workOf) const
{
    const auto rank = m_order->rank(opening, nowMillis);
    double millis = 0;
    for (const auto& other : m_waiting)
        millis += m_order->rank(other, nowMillis) <= rank ? workOf(other.kind) : 0;
    return millis;
}

std::vector<WaitingOpening> OpeningQueue::popDisplaced(
    std::uint64_t nowMillis, double slots, double headMillis, const WorkOf& workOf)
{
    std::vector<std::pair<OpeningRank, std::size_t>> order;
    for (std::size_t index = 0; index < m_waiting.size(); ++index)
        order.emplace_back(m_order->rank(m_waiting[index], nowMillis), index);
    std::sort(order.begin(), order.end(), [](const auto& one, const auto& other) { return one < other; });
    std::vector<bool> isDisplaced(m_waiting.size());
    double aheadMillis = 0;
    for (const auto& [rank, index] : order) {
        const auto& opening = m_waiting[index];
        const double startMillis = double(nowMillis) + headMillis + aheadMillis / slots;
        const bool mayRefuse = opening.mayRefuse && nowMillis <= opening.waitEndMillis;
        isDisplaced[index] = mayRefuse && startMillis > double(opening.displacedMillis);
        aheadMillis += isDisplaced[index] ? 0 : workOf(opening.kind);
    }
    std::vector<WaitingOpening> displaced;
    std::vector<WaitingOpening> kept;
    for (std::size_t index = 0; index < m_waiting.size(); ++index)
        (isDisplaced[index] ? displaced : kept).push_back(std::move(m_waiting[index]));
    m_waiting = std::move(kept);
    return displaced;
}

} // namespace yuccahook::flow
