#include "flow/OpeningQueue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace yuccahook::flow {

namespace {

auto placeOf(const WaitingOpening& opening, std::uint64_t nowMillis)
{
    return std::tuple(nowMillis > opening.inGoalUntilMillis, opening.priority, opening.sinceMillis);
}

} // namespace

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
    const auto first = std::min_element(
        m_waiting.begin(), m_waiting.end(), [nowMillis](const WaitingOpening& one, const WaitingOpening& other) {
            return placeOf(one, nowMillis) < placeOf(other, nowMillis);
        });
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

std::vector<WaitingOpening> OpeningQueue::popAll() { return std::exchange(m_waiting, {}); }

std::size_t OpeningQueue::ahead(const WaitingOpening& opening, std::uint64_t nowMillis) const
{
    const auto place = placeOf(opening, nowMillis);
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
        [&place, nowMillis](const WaitingOpening& other) { return placeOf(other, nowMillis) <= place; }));
}

} // namespace yuccahook::flow
