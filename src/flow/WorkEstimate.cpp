#include "flow/WorkEstimate.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::flow {

namespace {

constexpr std::uint32_t minimumSamples = 10; // fewer say little where a few requests take many times the mean
constexpr std::uint32_t averagedSamples = 64; // later samples replace this part of the mean
constexpr double initialShare = 0.25; // of the latency goal

} // namespace

void WorkEstimate::Samples::add(double millis)
{
    count = std::min(count + 1, averagedSamples);
    const double difference = millis - mean;
    mean += difference / count;
    variance += (difference * (millis - mean) - variance) / count;
}

Work WorkEstimate::Samples::work() const { return { std::max(mean, 1.0), std::sqrt(std::max(variance, 0.0)) }; }

void WorkEstimate::record(const RequestClass& kind, double millis)
{
    m_all.add(millis);
    if (m_classes.size() < maximumClasses || m_classes.contains(kind))
        m_classes[kind].add(millis);
}

Work WorkEstimate::of(const RequestClass& kind) const
{
    const auto found = m_classes.find(kind);
    const bool isMeasured = found != m_classes.end() && found->second.count >= minimumSamples;
    return isMeasured ? found->second.work() : ofAny(kind);
}

Work WorkEstimate::ofAny(const RequestClass& kind) const
{
    return m_all.count >= minimumSamples ? m_all.work() : Work { std::max(kind.goalMillis * initialShare, 1.0), 0 };
}

} // namespace yuccahook::flow
