#include "flow/WaitLimits.h"

#include "flow/RequestCost.h"
#include "flow/StartupPacketBuffer.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

// Share of the latency goal for waiting and service. The rest is for requests that take longer than the mean.
constexpr double goalShare = 0.8;
constexpr double overloadGoalShare = 0.6; // the same during an overload
constexpr double waitShare = 0.4; // of the route's timeout, so that a refused caller has time for another attempt
constexpr double silentWaitShare = 0.45; // the same for a caller that a refusal would not reach
constexpr std::uint64_t minimumWaitMillis = 100; // for an opening packet that has waited before it arrived here
constexpr std::uint64_t maximumWaitMillis = StartupPacketBuffer::maximumAgeMillis;
// A caller retransmits after 200 ms, and the retransmission may open the flow at another agent.
constexpr std::uint64_t refusalDeadlineMillis = 170;

std::uint64_t within(double share, double whole, double reduction)
{
    return static_cast<std::uint64_t>(std::max(share * whole - reduction, 0.0));
}

// A caller that a refusal would not reach gains nothing by it. During an overload, others need the slot.
bool canRefuse(const PacketEnvelope& envelope, const OverloadRecord& overload, std::uint64_t nowMillis)
{
    return !envelope.suppressReset || overload.contains(UINT8_MAX, nowMillis);
}

// `overloadMillis` is the limit during an overload, from the first transmission.
WaitLimits limitsOf(const PacketEnvelope& envelope, std::uint64_t goalMillis, std::uint64_t overloadMillis,
    const OverloadRecord& overload, std::uint64_t nowMillis)
{
    WaitLimits limits;
    limits.firstSentMillis = nowMillis - std::min<std::uint64_t>(envelope.waitedMillis, nowMillis);
    limits.latestStartMillis = limits.firstSentMillis + goalMillis;
    const bool refusable = canRefuse(envelope, overload, nowMillis);
    std::uint64_t longestMillis = maximumWaitMillis;
    if (envelope.timeoutMillis != 0) {
        const std::uint64_t shareMillis = within(refusable ? waitShare : silentWaitShare, envelope.timeoutMillis, 0);
        longestMillis
            = std::min(longestMillis, std::max<std::uint64_t>(shareMillis, envelope.waitedMillis + minimumWaitMillis));
    }
    const bool isOverloaded = refusable && overload.contains(envelope.priority, nowMillis);
    limits.predictedMillis = limits.firstSentMillis + (isOverloaded ? overloadMillis : longestMillis);
    limits.endMillis = limits.firstSentMillis
        + (envelope.suppressReset ? longestMillis : std::min(longestMillis, refusalDeadlineMillis));
    return limits;
}

} // namespace

WaitLimits goalWaitLimits(
    const PacketEnvelope& envelope, double serviceTimeMillis, const OverloadRecord& overload, std::uint64_t nowMillis)
{
    return limitsOf(envelope, within(goalShare, envelope.goalMillis, serviceTimeMillis),
        within(overloadGoalShare, envelope.goalMillis, serviceTimeMillis), overload, nowMillis);
}

WaitLimits leastCostWaitLimits(
    const PacketEnvelope& envelope, const Work& work, const OverloadRecord& overload, std::uint64_t nowMillis)
{
    const double latestMillis = RequestCost(RequestClass::of(envelope), work).latestStartMillis();
    return limitsOf(envelope, within(1, latestMillis, 0),
        within(1, std::min(latestMillis, overloadGoalShare * envelope.goalMillis - work.meanMillis), 0), overload,
        nowMillis);
}

} // namespace yuccahook::flow
