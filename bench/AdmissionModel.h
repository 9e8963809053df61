#pragma once

#include "request/AgentAdmission.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace yuccahook::bench {

using Time = request::AdmissionTime;

/// A kind of request of the simulated service. Its service times are log-normally distributed.
struct Workload {
    std::string name;
    std::string method;
    std::string path;
    Time meanServiceTime {};
    double deviation = 0.7; ///< Standard deviation of the logarithm of the service time.
    double loadShare = 1; ///< Share of the offered slot time that requests of this kind need.
    Time deadline {}; ///< From the arrival of a request.
    bool idempotent = true;
    std::uint8_t priority = 0;
};

/// Faults of a run. Times are counted from its start.
struct ModelFaults {
    double stragglerShare = 0; ///< Share of the requests that take `stragglerFactor` times as long.
    double stragglerFactor = 20;
    double shedShare = 0; ///< Share of the attempts that the backend server refuses as not run.
    bool lyingLoad = false; ///< Agent 0 always reports an idle backend server to its peers.
    double slowFactor = 1; ///< Multiplies the service times at agent 1.
    Time coldUntil {}; ///< Until then, service times at agent 2 are multiplied by `coldFactor`.
    double coldFactor = 5;
    Time stallFrom {}; ///< All backend servers make no progress until `stallUntil`.
    Time stallUntil {};
    Time downFrom {}; ///< All backend servers refuse every attempt as not run until `downUntil`.
    Time downUntil {};
};

/// A service in virtual time: its agents (`targets`), each beside a backend server with `slots`, its requests and its
/// faults.
struct ModelOptions {
    std::uint64_t seed = 1;
    std::uint32_t targets = 7;
    std::uint32_t slots = 7;
    Time oneWay = std::chrono::microseconds(1500); ///< Of a message between agents.
    Time duration = std::chrono::seconds(60); ///< Of the arrivals; requests that are open then still end.
    Time loadInterval {}; ///< Between load reports to the peers, in addition to the loads sent with offers; 0: none.
    Time measureFrom = std::chrono::seconds(10); ///< Requests that arrive earlier are not counted.
    std::function<double(Time)> load; ///< Offered slot time over capacity, at a time since the start.
    std::vector<Workload> workloads;
    ModelFaults faults;
    request::AdmissionSettings admission;
};

/// Outcomes of the requests that arrived in the measured part of a run.
struct ModelResult {
    struct PerWorkload {
        std::uint64_t arrived = 0;
        std::uint64_t inTime = 0; ///< Answered by the deadline.
        double inTimeServiceSeconds = 0; ///< Service time of the requests answered by the deadline.
        double inTimeServiceSecondsInRun = 0; ///< The part of `inTimeServiceSeconds` answered before `duration`.
        std::vector<double> latencyMillis; ///< Of every answer, late ones included.
    };

    std::map<std::string, PerWorkload> workloads;
    std::map<std::string, std::uint64_t> refusedByReason;
    double capacitySeconds = 0; ///< Slot time of all targets, less what slow and cold ones lose.
    double offeredSeconds = 0; ///< Service time of all requests.
    std::uint64_t late = 0; ///< Answered after the deadline.
    std::uint64_t unknown = 0; ///< Ended without an answer after they may have run.
    /// Non-idempotent requests that ran a second time. Counted for the whole run, like the counts below.
    std::uint64_t ranTwice = 0;
    std::uint64_t falseNotRun = 0; ///< Contradictions: requests refused as not run that ran before or afterwards.
    std::uint64_t aboveSlots = 0; ///< Attempts that started while all slots of the backend server were in use.
    std::uint64_t offers = 0;
    std::uint64_t offersTaken = 0;
    std::uint64_t retriesAndHedges = 0;
    std::vector<double> inTimePerTick; ///< For each `modelTick`, the share of its arrivals answered by the deadline.

    /// Service time of all requests answered by their deadline.
    double goodputSeconds() const;
    /// `percentile` is between 0 and 1. Returns 0 for a workload that is unknown or has no answers.
    double percentileMillis(const std::string& workload, double percentile) const;
    /// All counts and ratios by the names that yuccahook-bench prints.
    nlohmann::json toJson() const;
};

constexpr Time modelTick = std::chrono::milliseconds(200);

/// Simulates agents that use request::AgentAdmission.
ModelResult runWithAdmission(const ModelOptions& options);

/// Simulates a naive baseline without admission control: each agent serves its requests first in, first out. A request
/// without an answer after half of its deadline is also sent to a random agent, at most twice. A shed attempt is
/// repeated at a random agent without limit.
ModelResult runNaive(const ModelOptions& options);

} // namespace yuccahook::bench
