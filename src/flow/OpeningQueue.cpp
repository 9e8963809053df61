#include "flow/OpeningQueue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace yuccahook::flow {

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

std::optional<WaitingOpening> OpeningQueue::next(std::uint64_t nowMillis)
{
    const auto order = [nowMillis](const WaitingOpening& opening) {
        return std::tuple(nowMillis > opening.inGoalUntilMillis, opening.priority, opening.sinceMillis);
    };
    const auto first = std::min_element(m_waiting.begin(), m_waiting.end(),
        [&order](const WaitingOpening& one, const WaitingOpening& other) { return order(one) < order(other); });
    if (first == m_waiting.end())
        return std::nullopt;
    std::optional<WaitingOpening> taken = std::move(*first);
    m_waiting.erase(first);
    return taken;
}

std::vector<WaitingOpening> OpeningQueue::takeEnded(std::uint64_t nowMillis)
{
    const auto ended = std::stable_partition(m_waiting.begin(), m_waiting.end(),
        [nowMillis](const WaitingOpening& opening) { return nowMillis < opening.endMillis; });
    std::vector<WaitingOpening> taken(std::make_move_iterator(ended), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(ended, m_waiting.end());
    return taken;
}

std::vector<WaitingOpening> OpeningQueue::takeAll() { return std::exchange(m_waiting, {}); }

std::size_t OpeningQueue::ahead(std::uint8_t priority) const
{
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
        [priority](const WaitingOpening& opening) { return opening.priority <= priority; }));
}

} // namespace yuccahook::flow
