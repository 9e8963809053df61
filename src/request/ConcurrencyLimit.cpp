#include "request/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace yuccahook::request {

namespace {

constexpr double samplesPerSlot = 4;
constexpr double minimumWindowSamples = 8; // samples
constexpr double slowLogRatio = 0.916; // ln 2.5: requests of the window took 2.5 times as long as expected
constexpr double shedShare = 0.3; // above this share of refused attempts, the limit is lowered
constexpr double decreaseFactor = 0.8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(AdmissionTime slowStart, bool learnLimit)
    : m_slowStart(slowStart)
    , m_learnLimit(learnLimit)
{
}

void ConcurrencyLimit::configure(AdmissionTime slowStart, bool learnLimit)
{
    m_slowStart = slowStart;
    m_learnLimit = learnLimit;
    if (!learnLimit)
        m_limit = m_slots;
}

void ConcurrencyLimit::setSlots(std::uint32_t slots, AdmissionTime now)
{
    if (slots == m_slots)
        return;
    if (m_slots == 0)
        m_started = now;
    m_slots = slots;
    m_limit = slots;
}

void ConcurrencyLimit::observe(AdmissionTime duration, AdmissionTime expected, std::uint32_t running)
{
    const double ratio
        = static_cast<double>(std::max(duration, AdmissionTime(1)).count()) / std::max<double>(1, expected.count());
    m_windowSum += std::log(ratio);
    addSample(running);
}

void ConcurrencyLimit::observeShed(std::uint32_t running)
{
    ++m_windowSheds;
    addSample(running);
}

void ConcurrencyLimit::addSample(std::uint32_t running)
{
    if (!m_learnLimit || ++m_windowSamples < std::max(minimumWindowSamples, samplesPerSlot * m_limit))
        return;
    const bool sheds = m_windowSheds > shedShare * m_windowSamples;
    const bool slow = m_windowSum > slowLogRatio * m_windowSamples;
    if (sheds || slow)
        m_limit = std::max(1.0, m_limit * decreaseFactor);
    else if (running >= static_cast<std::uint32_t>(m_limit)) // the limit rises only when it is fully used
        m_limit = std::min<double>(m_slots, m_limit + 1);
    m_windowSum = 0;
    m_windowSamples = 0;
    m_windowSheds = 0;
}

std::uint32_t ConcurrencyLimit::limitAt(AdmissionTime now) const
{
    const auto learned = static_cast<std::uint32_t>(m_limit);
    if (m_slots == 0 || now - m_started >= m_slowStart)
        return learned;
    const auto opened = static_cast<std::uint32_t>(1 + (now - m_started) * (m_slots - 1) / m_slowStart);
    return std::min(learned, opened);
}

AdmissionTime ConcurrencyLimit::nextOpening(AdmissionTime now) const
{
    if (m_slots <= 1 || now - m_started >= m_slowStart)
        return AdmissionTime::max();
    const auto step = m_slowStart / (m_slots - 1);
    return m_started + ((now - m_started) / step + 1) * step;
}

} // namespace yuccahook::request
