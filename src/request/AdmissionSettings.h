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

/// The queueing discipline: the order in which waiting requests are given free slots.
enum class Discipline : std::uint8_t { FirstInFirstOut, ReservedSlots, ShortestEstimate, LeastAttained };

/// Assigns a priority to requests by method and path prefix. An empty method matches every method.
struct PriorityRule {
    std::string method;
    std::string path;
    std::uint8_t priority = 0; ///< Lower numbers are served first.

    bool operator==(const PriorityRule&) const = default;
};

/// The admission part of a service's request policy.
struct AdmissionSettings {
    Discipline discipline = Discipline::ReservedSlots;
    std::uint32_t reservedSlots = 1; ///< Not used for long requests; capped at all slots but one.
    std::uint32_t minimumSharePercent = 10; ///< Slot time guaranteed to each lower priority with waiting requests.
    std::uint32_t longFactor = 4; ///< A request is long if its expected time exceeds this many times the median.
    std::chrono::milliseconds priorServiceTime { 50 }; ///< Expected service time of a class without samples.
    std::chrono::milliseconds maximumWait { 500 }; ///< Requests that are expected to queue for longer are refused.
    std::chrono::milliseconds slowStart { 0 }; ///< After a start, slots become available one by one over this time.
    bool learnLimit = true; ///< Use fewer slots while the backend server slows down or sheds load.
    bool offers = true; ///< Offer requests to peer agents when no local slot is free.
    bool hedges = false; ///< Send a second copy of slow idempotent requests to a peer.
    std::uint32_t retryPercent = 10; ///< Retries and hedges per hundred requests, on average.
    std::uint32_t retryBurst = 10; ///< Retries and hedges that may be sent in one burst.
    std::vector<PriorityRule> priorities; ///< The first matching rule applies.

    /// The priority of the first matching rule, or 1 when none matches.
    std::uint8_t priorityOf(std::string_view method, std::string_view path) const;

    bool operator==(const AdmissionSettings&) const = default;
};

/// Reads the object `admission` of a request policy; absent keys leave the fields of `admission` unchanged.
void readAdmissionSettings(settings::ObjectReader& reader, AdmissionSettings& admission);

} // namespace yuccahook::request

template <> struct yuccahook::kernel::EnumNames<yuccahook::request::Discipline> {
    static constexpr std::array<std::string_view, 4> names { "first-in-first-out", "reserved-slots",
        "shortest-estimate", "least-attained" };
};
