#include "flow/LeastCostOrder.h"

#include "flow/RequestCost.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::flow {

namespace {

enum Group : std::uint8_t { MostUrgent, BelowMinimum, Other };

constexpr std::uint64_t acceptedLevelMillis = 200; // some requests at one backend server
constexpr std::uint8_t urgentLevel = 240;
// Eight levels for each factor of 2. The worth of a millisecond lies between 2^-30 and 1.
constexpr double levelsPerFactorOfTwo = 8;
constexpr double lowestLevel = 1;
constexpr double levelOfOne = urgentLevel - 1;

} // namespace

void LeastCostOrder::recordOffered(const RequestClass& kind, std::uint64_t nowMillis)
{
    m_demand.recordOffered(kind, m_work.of(kind).meanMillis, nowMillis);
}

void LeastCostOrder::recordAccepted(const RequestClass& kind, std::uint64_t nowMillis)
{
    m_demand.recordServed(kind, m_work.of(kind).meanMillis, nowMillis);
    const std::uint8_t accepted = level(kind);
    const std::uint8_t before = acceptedLevel(nowMillis);
    if (before != 0 && accepted > before)
        return;
    m_acceptedLevel = accepted;
    m_acceptedMillis = nowMillis;
}

OpeningRank LeastCostOrder::rank(const WaitingOpening& opening, std::uint64_t nowMillis) const
{
    std::uint8_t group = Other;
    if (m_demand.isMostUrgent(opening.kind))
        group = MostUrgent;
    else if (m_demand.isBelowMinimum(opening.kind, m_slots))
        group = BelowMinimum;
    const double earnings = RequestCost(opening.kind, m_work.of(opening.kind)).perSlotMilli();
    return { nowMillis > opening.latestStartMillis, group, -earnings, opening.latestStartMillis };
}

std::uint8_t LeastCostOrder::level(const RequestClass& kind) const
{
    if (m_demand.isMostUrgent(kind))
        return urgentLevel;
    const double earnings = RequestCost(kind, m_work.of(kind)).perSlotMilli();
    return static_cast<std::uint8_t>(
        std::clamp(levelOfOne + levelsPerFactorOfTwo * std::log2(earnings), lowestLevel, levelOfOne));
}

std::uint8_t LeastCostOrder::acceptedLevel(std::uint64_t nowMillis) const
{
    return m_acceptedLevel != 0 && nowMillis - m_acceptedMillis < acceptedLevelMillis ? m_acceptedLevel : 0;
}

} // namespace yuccahook::flow
