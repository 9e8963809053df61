#pragma once

#include "kernel/EnumNames.h"
#include "settings/ObjectReader.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::request {

/// The order in which waiting requests get free slots.
enum class Discipline : std::uint8_t { FirstInFirstOut, ReservedSlots, ShortestEstimate, LeastAttained };

/// The priority of requests by method and the beginning of the path. An empty method stands for all.
struct PriorityRule {
    std::string method;
    std::string path;
    std::uint8_t priority = 0; ///< Lower numbers go first.

    bool operator==(const PriorityRule&) const = default;
};

/// The admission part of a service's request policy.
struct AdmissionSettings {
    Discipline discipline = Discipline::ReservedSlots;
    std::uint32_t reservedSlots = 1; ///< Closed to long work; at most all slots but one.
    std::uint32_t minimumSharePercent
        = 10; ///< Of the slot time, that higher priorities leave to each lower one that waits.
    std::uint32_t longFactor = 4; ///< Long: expected to take more than this many times the median.
    std::chrono::milliseconds priorServiceTime { 50 }; ///< Of a request that nothing is known about.
    std::chrono::milliseconds maximumWait { 500 }; ///< Queueing longer is refused.
    std::chrono::milliseconds slowStart { 0 }; ///< Slots open one by one over this time after a start.
    bool learnLimit = true; ///< Lower the slots in use while the backend server slows down or sheds.
    bool offers = true;
    bool hedges = false;
    std::uint32_t retryPercent = 10; ///< Retries and hedges per hundred requests, on average.
    std::uint32_t retryBurst = 10; ///< Retries and hedges that may come at once.
    std::vector<PriorityRule> priorities; ///< The first that fits counts.

    std::uint8_t priorityOf(std::string_view method, std::string_view path) const;

    bool operator==(const AdmissionSettings&) const = default;
};

/// Reads the object `admission` of a request policy; keys that are absent keep their values.
void readAdmissionSettings(settings::ObjectReader& reader, AdmissionSettings& admission);

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::Discipline> {
    static constexpr std::array<std::string_view, 4> names { "first-in-first-out", "reserved-slots",
        "shortest-estimate", "least-attained" };
};
