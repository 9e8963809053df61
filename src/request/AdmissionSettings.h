#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace yuccahook::request {

/// The order in which waiting requests get free slots.
enum class Discipline : std::uint8_t { FirstInFirstOut, ReservedSlots, ShortestEstimate, LeastAttained };

/// The admission part of a service's request policy.
struct AdmissionSettings {
    Discipline discipline = Discipline::ReservedSlots;
    std::uint32_t reservedSlots = 1; ///< Closed to long work; at most all slots but one.
    double minimumShare = 0.1; ///< Of the slot time, that higher priorities leave to each lower one that waits.
    double longFactor = 4; ///< Long: expected to take more than this many times the median.
    std::chrono::milliseconds priorServiceTime { 50 }; ///< Of a request that nothing is known about.
    std::chrono::milliseconds maximumWait { 500 }; ///< Queueing longer is refused.
    std::chrono::milliseconds slowStart { 0 }; ///< Slots open one by one over this time after a start.
    bool learnLimit = true; ///< Lower the slots in use while the backend server slows down or sheds.
    bool offers = true;
    bool hedges = false;
    double retryShare = 0.1; ///< Retries and hedges per request, on average.
    double retryBurst = 10; ///< Retries and hedges that may come at once.
};

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::Discipline> {
    static constexpr std::array<std::string_view, 4> names { "first-in-first-out", "reserved-slots",
        "shortest-estimate", "least-attained" };
};
