#pragma once

#include "flow/PacketFlow.h"
#include "flow/PlacementPolicy.h"
#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccahook::flow {

/// Why a balancer cannot tell where a new flow would go.
enum class PlacementFault : std::uint8_t {
    RoutesUnknown, ///< No routes yet, or no recent contact with a control instance and no such route.
    LoadsUnknown, ///< The balancer has just started and waits for load reports.
    NoRoute,
    NoService ///< None of the route's services is known.
};

/// An agent that may get the flow.
struct ExplainedCandidate {
    std::uint32_t member = 0;
    std::string agent;
    std::string domain;
    PlacementRank rank;
    AgentLoad load;
    std::optional<std::uint64_t> reportAgeMillis; ///< Not set if it has never reported.
    bool isOutlier = false;
    bool isEvacuated = false;
    bool isFirst = false; ///< The flow goes here, or to another with the same rank, at random.
    bool mayBeTried = false; ///< An outlier that gets the flow with the small probability of a trial.
};

/// A service of the route.
struct ExplainedService {
    std::string name;
    std::uint32_t weight = 0;
    bool isChosen = false; ///< By the caller's address; of all services with a weight if that is not given.
    std::vector<ExplainedCandidate> candidates; ///< Best rank first.
};

/// Where a new flow would go now, and why.
struct PlacementExplanation {
    std::optional<PlacementFault> fault;
    std::uint64_t revision = 0; ///< Of the membership.
    std::uint64_t routeVersion = 0;
    std::string route; ///< Name.
    std::vector<std::string> homes; ///< Regions that the route allows; empty: all.
    std::vector<ExplainedService> services;
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::PlacementFault> {
    static constexpr std::array<std::string_view, 4> names { "routes-unknown", "loads-unknown", "no-route",
        "no-service" };
};
