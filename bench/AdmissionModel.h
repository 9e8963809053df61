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

/// A kind of request of the modelled service. Service times are log-normal.
struct Workload {
    std::string name;
    std::string method;
    std::string path;
    Time meanServiceTime {};
    double deviation = 0.7; ///< Of the logarithm.
    double shareOfWork = 1; ///< Of the slot time asked for.
    Time deadline {};
    bool idempotent = true;
    std::uint8_t priority = 0;
};

/// What goes wrong in a run, and when.
struct ModelFaults {
    double stragglerShare = 0; ///< Of the requests, that take stragglerFactor times as long.
    double stragglerFactor = 20;
    double shedShare = 0; ///< Of the attempts, turned away by the backend server.
    bool lyingLoad = false; ///< Agent 0 always reports an idle backend server to its peers.
    double slowFactor = 1; ///< Of agent 1's service times.
    Time coldUntil {}; ///< Agent 2's backend server starts cold: coldFactor times as long until then.
    double coldFactor = 5;
    Time stallFrom {}; ///< All backend servers make no progress until stallUntil.
    Time stallUntil {};
    Time downFrom {}; ///< All backend servers turn every attempt away until downUntil.
    Time downUntil {};
};

/// A service in virtual time: targets with slots, the requests that arrive and what goes wrong.
struct ModelOptions {
    std::uint64_t seed = 1;
    std::uint32_t targets = 7;
    std::uint32_t slots = 7;
    Time oneWay = std::chrono::microseconds(1500);
    Time duration = std::chrono::seconds(60);
    Time loadInterval {}; ///< Between an agent's reports of its load to its peers, besides offers; 0: none.
    Time measureFrom = std::chrono::seconds(10);
    std::function<double(Time)> load; ///< Offered work over capacity.
    std::vector<Workload> workloads;
    ModelFaults faults;
    request::AdmissionSettings admission;
};

/// What came of the requests that arrived in the measured part of a run.
struct ModelResult {
    struct PerWorkload {
        std::uint64_t arrived = 0;
        std::uint64_t inTime = 0;
        double workInTimeSeconds = 0;
        double inTimeWithinRun = 0; ///< The part of it that was answered before the arrivals ended.
        std::vector<double> latencyMillis; ///< Of every answer.
    };

    std::map<std::string, PerWorkload> workloads;
    std::map<std::string, std::uint64_t> refusedByReason;
    double capacitySeconds = 0; ///< Slot time.
    double offeredSeconds = 0;
    std::uint64_t late = 0;
    std::uint64_t unknown = 0;
    std::uint64_t ranTwice = 0; ///< Non-idempotent requests.
    std::uint64_t falseNotRun = 0;
    std::uint64_t aboveSlots = 0; ///< Attempts begun while all slots were taken.
    std::uint64_t offers = 0;
    std::uint64_t offersTaken = 0;
    std::uint64_t retriesAndHedges = 0;
    std::vector<double> inTimePerTick; ///< Share of the arrivals of each tick that was answered in time.

    double goodputSeconds() const;
    double percentileMillis(const std::string& workload, double percentile) const;
    nlohmann::json figures() const;
};

constexpr Time modelTick = std::chrono::milliseconds(200);

/// Runs the agents' own admission core.
ModelResult runWithAdmission(const ModelOptions& options);

/// Runs the naive version: each agent's requests first in, first out, without admission; an attempt that has not been
/// answered in half of its deadline is sent to another agent, twice at most.
ModelResult runNaive(const ModelOptions& options);

} // namespace yuccahook::bench
