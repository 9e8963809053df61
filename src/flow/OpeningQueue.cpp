#include "flow/OpeningQueue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace yuccahook::flow {

namespace {

auto rankOf(const WaitingOpening& opening, std::uint64_t nowMillis)
{
    return std::tuple(nowMillis > opening.latestStartMillis, opening.priority, opening.firstSentMillis);
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

std::optional<WaitingOpening> OpeningQueue::popNext(std::uint64_t nowMillis)
{
    const auto first = std::min_element(
        m_waiting.begin(), m_waiting.end(), [nowMillis](const WaitingOpening& one, const WaitingOpening& other) {
            return rankOf(one, nowMillis) < rankOf(other, nowMillis);
        });
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
    const auto rank = rankOf(opening, nowMillis);
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
        [&rank, nowMillis](const WaitingOpening& other) { return rankOf(other, nowMillis) <= rank; }));
}

} // namespace yuccahook::flow
