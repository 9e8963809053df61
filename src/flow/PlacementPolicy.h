#pragma once

#include "flow/Membership.h"
#include "flow/PacketEnvelope.h"
#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <optional>
#include <tuple>

namespace yuccahook::flow {

/// The order in which agents are chosen for a new flow. Within a tier, the least loaded is chosen.
enum class PlacementTier : std::uint8_t {
    FreeLocal, ///< With a free slot, in the same failure domain.
    FreeRemote,
    Full,
    Outlier, ///< Judged by OutlierDetector; with a free slot.
    LongQueue, ///< Outliers without a free slot and other agents with a long queue; only with outlier detection.
    NeverReported,
    Silent,
    Refusing,
    NotReady,
    Excluded ///< Never chosen.
};

/// Why an agent is in its tier.
enum class PlacementReason : std::uint8_t {
    FreeSlot,
    OtherDomain,
    SlotsTaken,
    Outlier,
    LongQueue,
    NeverReported,
    ReportsStopped,
    AcceptsNone,
    NotReady,
    Tried, ///< It did not accept the flow before.
    Evacuated, ///< In an evacuated failure domain.
    NotHome ///< In a region that the route does not allow.
};

/// What an instance knows of an agent that may get a new flow.
struct PlacementCandidate {
    AgentLoad load; ///< As last reported, plus the flows sent to the agent since.
    MemberState state = MemberState::Ready;
    bool isLocal = false; ///< In the same failure domain.
    bool hasReported = false;
    bool isRecent = false; ///< Whether the last report is recent enough to rely on.
    bool isOutlier = false;
    std::optional<PlacementReason> exclusion {}; ///< Why the agent must not get the flow.
};

/// Where an agent comes in the order of choice.
struct PlacementRank {
    PlacementTier tier = PlacementTier::Excluded;
    PlacementReason reason = PlacementReason::Tried;
    std::uint32_t load = 0; ///< In thousandths of the slots, by what the backend server can serve; 0 if not known.

    /// The rank that comes first is the smaller one.
    bool operator<(const PlacementRank& other) const
    {
        return std::tuple(tier, load) < std::tuple(other.tier, other.load);
    }
};

/// Decides in which order agents are chosen for a new flow. A value without state: the same candidate gets the same
/// rank in a real decision and in an explanation.
class PlacementPolicy {
public:
    /// Load in thousandths of the slots from which an agent counts as one with a long queue: one request waits for each
    /// slot.
    static constexpr std::uint32_t longQueueLoad = 2000;
    /// Load of agents in other failure domains is compared in steps of this size, as their reports are up to 500 ms
    /// old: the instances then spread flows over all agents of a step instead of all choosing the same one.
    static constexpr std::uint32_t remoteLoadStep = 500;
    /// An agent in another failure domain without a free slot must be less loaded by this to be chosen.
    static constexpr std::uint32_t remoteLoadPenalty = 500;
    /// Figures within this ratio of the median count as equal to it: 2 standard deviations of the figure.
    static constexpr double equalRatio = 1.25;
    /// A slow server's requests count as this many at most, so that one with a single answer of UINT16_MAX ms is
    /// comparable.
    static constexpr double maximumRatio = 8;

    /// `medianMillis` is the median service time of the agents of the service: not set without outlier detection, or if
    /// it is not known.
    static PlacementRank rank(
        const PlacementCandidate& candidate, bool detectsOutliers, std::optional<std::uint16_t> medianMillis);

private:
    static std::uint32_t loadOf(
        const PlacementCandidate& candidate, bool detectsOutliers, std::optional<std::uint16_t> medianMillis);
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::PlacementTier> {
    static constexpr std::array<std::string_view, 10> names { "free-local", "free-remote", "full", "outlier",
        "long-queue", "never-reported", "silent", "refusing", "not-ready", "excluded" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::PlacementReason> {
    static constexpr std::array<std::string_view, 12> names { "free-slot", "other-domain", "slots-taken", "outlier",
        "long-queue", "never-reported", "reports-stopped", "accepts-none", "not-ready", "tried", "evacuated",
        "not-home" };
};
