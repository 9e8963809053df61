#include "flow/ColdLimiter.h"

#include <algorithm>
#include <limits>

namespace yuccahook::flow {

namespace {

// Times are rounded down to milliseconds, so a difference of exactly 1,000 may be less than a second.
constexpr std::uint64_t windowMillis = 1001;
constexpr double maximumPerSecond = 65'536; // far above what a backend server can serve; bounds the memory

} // namespace

std::size_t ColdLimiter::limit() const
{
    return static_cast<std::size_t>(std::clamp(m_limit.perSecond, 1.0, maximumPerSecond));
}

std::uint64_t ColdLimiter::coldUntilMillis() const
{
    return std::max(m_reportedColdUntilMillis, m_hasPeriod ? m_periodStartMillis + m_limit.coldMillis : 0);
}

bool ColdLimiter::isCold(std::uint64_t nowMillis) const
{
    return m_limit.perSecond > 0 && nowMillis < coldUntilMillis();
}

void ColdLimiter::add(Counted counted)
{
    m_counted.push_back(counted);
    // Older ones make no difference once the window is full.
    if (m_counted.size() > limit())
        m_counted.erase(m_counted.begin(), m_counted.end() - static_cast<std::ptrdiff_t>(limit()));
}

void ColdLimiter::addFlow(std::uint64_t nowMillis)
{
    if (m_limit.perSecond > 0)
        add({ nowMillis, true });
}

void ColdLimiter::addRequest(bool isAnnounced, std::uint64_t nowMillis)
{
    if (m_limit.perSecond <= 0)
        return;
    // Which accepted flow the request belongs to does not matter: the earliest one is replaced, so those that remain
    // count for longer rather than shorter.
    const auto pending
        = std::find_if(m_counted.begin(), m_counted.end(), [](const Counted& counted) { return counted.isPending; });
    if (isAnnounced && pending != m_counted.end())
        m_counted.erase(pending);
    add({ nowMillis, false });
}

bool ColdLimiter::lacksEarlierRequests(std::uint64_t nowMillis) const
{
    return m_hasUnknownRequests && nowMillis - m_startMillis < windowMillis;
}

// The counted ones of the last second; the limit may have been lowered since they were counted.
std::span<const ColdLimiter::Counted> ColdLimiter::recent(std::uint64_t nowMillis) const
{
    const auto first = std::find_if(m_counted.begin(), m_counted.end(),
        [nowMillis](const Counted& counted) { return nowMillis - counted.atMillis < windowMillis; });
    const std::span<const Counted> all(first, m_counted.end());
    return all.last(std::min(all.size(), limit()));
}

std::size_t ColdLimiter::available(std::uint64_t nowMillis) const
{
    if (!isCold(nowMillis))
        return std::numeric_limits<std::size_t>::max();
    return lacksEarlierRequests(nowMillis) ? 0 : limit() - recent(nowMillis).size();
}

// Each of the window's places is free now, or once it was taken a window ago, and then again every window.
std::uint64_t ColdLimiter::delayMillis(std::size_t ahead, std::uint64_t nowMillis) const
{
    if (!isCold(nowMillis))
        return 0;
    const auto counted = recent(nowMillis);
    const std::size_t place = ahead % limit();
    const std::size_t others = limit() - counted.size();
    std::uint64_t freeMillis = lacksEarlierRequests(nowMillis) ? m_startMillis + windowMillis : nowMillis;
    if (place >= others)
        freeMillis = std::max(freeMillis, counted[place - others].atMillis + windowMillis);
    return std::min(freeMillis + ahead / limit() * windowMillis, coldUntilMillis()) - nowMillis;
}

} // namespace yuccahook::flow
