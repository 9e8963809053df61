#include "flow/RunningRequests.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t maximumMillis = 10'000; // by then the end of the flow was not seen
constexpr double overdueFactor = 2; // times the expected slot time

} // namespace

void RunningRequests::fillSlots(std::uint32_t slots, std::uint64_t nowMillis)
{
    const std::size_t running = std::min<std::size_t>(slots, m_requests.size());
    for (std::size_t index = 0; index < running; ++index) {
        if (!m_requests[index].slotMillis)
            m_requests[index].slotMillis = nowMillis;
    }
}

void RunningRequests::start(const PacketFlow& flow, double expectedMillis, std::uint32_t slots, std::uint64_t nowMillis)
{
    std::erase_if(m_requests, [&](const Request& request) {
        return request.flow == flow || nowMillis - request.arrivedMillis > maximumMillis;
    });
    m_requests.push_back({ flow, expectedMillis, nowMillis, std::nullopt });
    fillSlots(slots, nowMillis);
}

std::uint32_t RunningRequests::overdueSlots(std::uint64_t nowMillis) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [nowMillis](const Request& request) {
            return request.slotMillis
                && double(nowMillis - *request.slotMillis) > overdueFactor * request.expectedMillis;
        }));
}

std::uint32_t RunningRequests::countLonger(double millis) const
{
    return static_cast<std::uint32_t>(std::count_if(m_requests.begin(), m_requests.end(),
        [millis](const Request& request) { return request.expectedMillis > millis; }));
}

std::optional<std::uint64_t> RunningRequests::end(const PacketFlow& flow, std::uint32_t slots, std::uint64_t nowMillis)
{
    const auto found = std::find_if(
        m_requests.begin(), m_requests.end(), [&flow](const Request& request) { return request.flow == flow; });
    if (found == m_requests.end())
        return std::nullopt;
    const auto slotMillis = found->slotMillis;
    m_requests.erase(found);
    fillSlots(slots, nowMillis);
    return slotMillis ? std::optional(nowMillis - *slotMillis) : std::nullopt;
}

} // namespace yuccahook::flow
