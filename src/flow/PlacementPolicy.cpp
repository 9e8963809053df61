#include "flow/PlacementPolicy.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint32_t fullLoad = 1000;

// How much a request counts compared with one at the median server. At a slower one it occupies a slot for longer. One
// that is faster gets no more requests than the others: a server that fails its requests with errors, which are not
// visible in packets, answers fast and always has free slots.
double weightOf(std::uint16_t serviceMillis, std::uint16_t medianMillis)
{
    const double ratio = double(serviceMillis) / std::max<double>(medianMillis, 1);
    const double weight = std::max(ratio, 1 / ratio);
    return weight <= PlacementPolicy::equalRatio ? 1 : std::min(weight, PlacementPolicy::maximumRatio);
}

} // namespace

std::uint32_t PlacementPolicy::loadOf(
    const PlacementCandidate& candidate, bool detectsOutliers, std::optional<std::uint16_t> medianMillis)
{
    const auto& load = candidate.load;
    const std::uint32_t slots = std::max<std::uint32_t>(load.slots, 1);
    if (!detectsOutliers)
        return load.busy * fullLoad / slots;
    const double weight = medianMillis && load.serviceMillis != 0 ? weightOf(load.serviceMillis, *medianMillis) : 1;
    // With the new flow, so that servers without a request differ by their service times.
    const auto weighted = static_cast<std::uint32_t>((load.busy + 1) * weight * fullLoad / slots);
    if (candidate.isLocal)
        return weighted;
    const std::uint32_t stepped = (weighted + remoteLoadStep - 1) / remoteLoadStep * remoteLoadStep;
    return load.free() > 0 ? stepped : stepped + remoteLoadPenalty;
}

PlacementRank PlacementPolicy::rank(
    const PlacementCandidate& candidate, bool detectsOutliers, std::optional<std::uint16_t> medianMillis)
{
    if (candidate.exclusion)
        return { PlacementTier::Excluded, *candidate.exclusion, 0 };
    if (candidate.state != MemberState::Ready)
        return { PlacementTier::NotReady, PlacementReason::NotReady, 0 };
    if (!candidate.hasReported)
        return { PlacementTier::NeverReported, PlacementReason::NeverReported, 0 };
    if (!candidate.isRecent)
        return { PlacementTier::Silent, PlacementReason::ReportsStopped, 0 };
    if (!candidate.load.accepts)
        return { PlacementTier::Refusing, PlacementReason::AcceptsNone, 0 };
    const std::uint32_t load = loadOf(candidate, detectsOutliers, medianMillis);
    const bool isFree = candidate.load.free() > 0;
    if (candidate.isOutlier)
        return { isFree ? PlacementTier::Outlier : PlacementTier::LongQueue, PlacementReason::Outlier, load };
    if (isFree && candidate.isLocal)
        return { PlacementTier::FreeLocal, PlacementReason::FreeSlot, load };
    if (isFree)
        return { PlacementTier::FreeRemote, PlacementReason::OtherDomain, load };
    const std::uint32_t queueLoad = candidate.load.busy * fullLoad / std::max<std::uint32_t>(candidate.load.slots, 1);
    if (detectsOutliers && queueLoad >= longQueueLoad)
        return { PlacementTier::LongQueue, PlacementReason::LongQueue, load };
    return { PlacementTier::Full, PlacementReason::SlotsTaken, load };
}

} // namespace yuccahook::flow
