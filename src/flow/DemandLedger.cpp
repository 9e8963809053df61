#include "flow/DemandLedger.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::flow {

namespace {

// Long enough for some tens of requests at one backend server, short against waves of demand.
constexpr double averagingMillis = 1500;
// Of the fair share. The requirement is 0.5; what is accepted is estimated, and with 0.6 some runs were below that.
constexpr double minimumShare = 0.75;
constexpr double forgottenRate = 1e-4; // slots
constexpr std::size_t maximumClasses = 64;

} // namespace

DemandLedger::Rates& DemandLedger::ratesOf(const RequestClass& kind, std::uint64_t nowMillis)
{
    const double decay = std::exp(-double(nowMillis - std::min(m_updatedMillis, nowMillis)) / averagingMillis);
    m_updatedMillis = nowMillis;
    if (m_rates.empty())
        m_startMillis = nowMillis;
    for (auto& [other, rates] : m_rates) {
        rates.offered *= decay;
        rates.served *= decay;
    }
    std::erase_if(m_rates, [](const auto& entry) { return entry.second.offered < forgottenRate; });
    if (m_rates.size() < maximumClasses || m_rates.contains(kind))
        return m_rates[kind];
    return m_rates.begin()->second;
}

void DemandLedger::recordOffered(const RequestClass& kind, double workMillis, std::uint64_t nowMillis)
{
    ratesOf(kind, nowMillis).offered += workMillis / averagingMillis;
}

void DemandLedger::recordServed(const RequestClass& kind, double workMillis, std::uint64_t nowMillis)
{
    ratesOf(kind, nowMillis).served += workMillis / averagingMillis;
}

bool DemandLedger::isMostUrgent(const RequestClass& kind) const
{
    bool hasLessUrgent = false;
    for (const auto& [other, rates] : m_rates) {
        if (other.priority < kind.priority)
            return false;
        hasLessUrgent = hasLessUrgent || other.priority > kind.priority;
    }
    return hasLessUrgent;
}

std::uint16_t DemandLedger::urgentGoalMillis() const
{
    std::uint16_t shortest = 0;
    for (const auto& [kind, rates] : m_rates) {
        if (isMostUrgent(kind) && (shortest == 0 || kind.goalMillis < shortest))
            shortest = kind.goalMillis;
    }
    return shortest;
}

bool DemandLedger::isBelowMinimum(const RequestClass& kind, double slots) const
{
    const auto found = m_rates.find(kind);
    if (found == m_rates.end() || isMostUrgent(kind))
        return false;
    // Before as much time has passed, the rates are sums over less of it.
    const double elapsedMillis = std::max<double>(double(m_updatedMillis - m_startMillis), 1);
    slots *= 1 - std::exp(-elapsedMillis / averagingMillis);
    double offered = 0;
    for (const auto& [other, rates] : m_rates)
        offered += rates.offered;
    if (offered <= slots)
        return false;
    const auto minimumOf = [&](const Rates& rates) { return minimumShare * slots * rates.offered / offered; };
    // The less urgent first: the others get what these leave anyway.
    double remaining = slots;
    for (const auto& [other, rates] : m_rates) {
        if (isMostUrgent(other))
            remaining -= rates.offered;
        else if (other.priority > kind.priority)
            remaining -= minimumOf(rates);
    }
    return found->second.served < std::min(minimumOf(found->second), remaining);
}

} // namespace yuccahook::flow
