#include "flow/BackendMeter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace yuccahook::flow {

namespace {

// Share of the answered requests that counts. 3 % of the requests take 7 times as long, so that two of sixteen, which
// occur in a tenth of the windows, would otherwise raise the mean by three quarters.
constexpr double countedShare = 0.75;

} // namespace

void BackendMeter::startRequest(const PacketFlow& flow, std::uint64_t nowMillis)
{
    remove(flow, nowMillis);
    m_queued.emplace_back(flow, nowMillis);
    fillSlots(nowMillis);
}

// Backend servers serve in order of arrival.
void BackendMeter::fillSlots(std::uint64_t nowMillis)
{
    while (!m_queued.empty() && m_running.size() < std::max<std::uint32_t>(m_slots, 1)) {
        m_running[m_queued.front().first] = nowMillis;
        m_queued.pop_front();
    }
}

std::uint64_t BackendMeter::remove(const PacketFlow& flow, std::uint64_t nowMillis)
{
    std::uint64_t startMillis = 0;
    if (const auto running = m_running.find(flow); running != m_running.end()) {
        startMillis = running->second;
        m_running.erase(running);
        fillSlots(nowMillis);
        return startMillis;
    }
    const auto queued = std::find_if(
        m_queued.begin(), m_queued.end(), [&flow](const auto& candidate) { return candidate.first == flow; });
    if (queued != m_queued.end()) {
        startMillis = queued->second;
        m_queued.erase(queued);
    }
    return startMillis;
}

void BackendMeter::finishRequest(const PacketFlow& flow, RequestOutcome outcome, std::uint64_t nowMillis)
{
    if (const std::uint64_t startMillis = remove(flow, nowMillis))
        addSample(
            { static_cast<std::uint32_t>(std::min<std::uint64_t>(nowMillis - startMillis, UINT16_MAX)), outcome });
}

void BackendMeter::forgetRequest(const PacketFlow& flow, std::uint64_t nowMillis) { remove(flow, nowMillis); }

void BackendMeter::failRequests()
{
    const std::size_t failed = std::min(m_running.size() + m_queued.size(), windowRequests);
    m_running.clear();
    m_queued.clear();
    for (std::size_t index = 0; index < failed; ++index)
        recordFailedOpening();
}

void BackendMeter::expire(std::uint64_t nowMillis)
{
    const auto expired = std::erase_if(
        m_running, [nowMillis](const auto& entry) { return nowMillis - entry.second >= unansweredMillis; });
    for (std::size_t index = 0; index < std::min(expired, windowRequests); ++index)
        recordFailedOpening();
    if (expired > 0)
        fillSlots(nowMillis);
}

void BackendMeter::addSample(Sample sample)
{
    m_samples[m_sampleCount++ % windowRequests] = sample;
    const std::size_t known = std::min(m_sampleCount, windowRequests);
    if (known < minimumRequests)
        return;
    std::vector<std::uint32_t> answered;
    for (std::size_t index = 0; index < known; ++index) {
        if (m_samples[index].outcome == RequestOutcome::Answered)
            answered.push_back(m_samples[index].millis);
    }
    if (answered.empty()) {
        m_serviceMillis = UINT16_MAX;
        return;
    }
    std::sort(answered.begin(), answered.end());
    const auto counted = static_cast<std::size_t>(std::ceil(countedShare * double(answered.size())));
    const double sum = std::accumulate(answered.begin(), answered.begin() + static_cast<std::ptrdiff_t>(counted), 0.0);
    const double failedShare = 1 - double(answered.size()) / double(known);
    const double figure = std::max(sum / double(counted), 1.0) * (1 + failedShare * (failureFactor - 1));
    m_serviceMillis = static_cast<std::uint16_t>(std::min(figure, UINT16_MAX - 1.0));
}

} // namespace yuccahook::flow
