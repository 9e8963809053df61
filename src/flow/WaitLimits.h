#pragma once

#include "flow/OverloadRecord.h"
#include "flow/PacketEnvelope.h"
#include "flow/WorkEstimate.h"

#include <cstdint>

namespace yuccahook::flow {

/// How long an opening packet may wait for a slot, as points in time.
struct WaitLimits {
    std::uint64_t firstSentMillis = 0; ///< When its caller first transmitted it.
    std::uint64_t latestStartMillis = 0; ///< A slot that is free by then still answers it within the latency goal.
    std::uint64_t predictedMillis = 0; ///< With a later predicted start it does not wait.
    std::uint64_t endMillis = 0; ///< When its wait ends.
};

/// The limits of OverloadPolicy::Goal. During an overload, a packet waits only if it can be answered within its latency
/// goal.
WaitLimits goalWaitLimits(
    const PacketEnvelope& envelope, double serviceTimeMillis, const OverloadRecord& overload, std::uint64_t nowMillis);

/// The limits of OverloadPolicy::LeastCost.
WaitLimits leastCostWaitLimits(
    const PacketEnvelope& envelope, const Work& work, const OverloadRecord& overload, std::uint64_t nowMillis);

} // namespace yuccahook::flow
