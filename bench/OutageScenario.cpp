#include "AdmissionModel.h"
#include "Scenario.h"

#include <algorithm>

namespace yuccahook::bench {

namespace {

constexpr Time outageStart = std::chrono::seconds(20);
constexpr std::size_t steadyTicks = 10;
constexpr double recoveredShare = 0.95;

ModelOptions modelOf(const ScenarioOptions& options)
{
    ModelOptions model;
    model.seed = options.seed;
    model.targets = static_cast<std::uint32_t>(options.number("targets", 7));
    model.slots = static_cast<std::uint32_t>(options.number("slots", 7));
    model.oneWay = std::chrono::microseconds(options.number("one-way-us", 1500));
    model.duration = std::chrono::seconds(options.number("seconds", 90));
    model.load = [load = options.real("load", 0.7)](Time) { return load; };
    model.faults.stragglerShare = options.real("straggler-share", 0.001);
    model.admission.hedges = true;
    model.workloads
        = { { "status", "GET", "/status/1", std::chrono::milliseconds(20), 0.7, 0.6, std::chrono::seconds(2), true, 1 },
              { "bid", "POST", "/bids", std::chrono::milliseconds(30), 0.7, 0.4, std::chrono::seconds(5), false, 0 } };
    return model;
}

// Seconds from the end of the outage to the first tick from which, for steadyTicks, at least recoveredShare of the
// arrivals are answered in time.
double recoverySeconds(const ModelResult& result, Time end)
{
    const auto first = static_cast<std::size_t>(end / modelTick);
    const auto& ticks = result.inTimePerTick;
    for (std::size_t start = first; start + steadyTicks < ticks.size(); ++start) {
        const auto begin = ticks.begin() + static_cast<std::ptrdiff_t>(start);
        if (*std::min_element(begin, begin + steadyTicks) >= recoveredShare)
            return std::chrono::duration<double>(start * modelTick - end).count();
    }
    return -1; // not within the run
}

nlohmann::json toJson(const ModelResult& result, Time end)
{
    auto figures = result.toJson();
    figures["recovery_s"] = recoverySeconds(result, end);
    return figures;
}

nlohmann::json run(const ScenarioOptions& options)
{
    const Time end = outageStart + std::chrono::seconds(options.number("outage-seconds", 5));
    ModelOptions stalled = modelOf(options);
    stalled.faults.stallFrom = outageStart;
    stalled.faults.stallUntil = end;
    ModelOptions down = modelOf(options);
    down.faults.downFrom = outageStart;
    down.faults.downUntil = end;
    nlohmann::json result;
    for (const auto& [name, model] : { std::pair { "stalled", stalled }, std::pair { "down", down } }) {
        result["ours"][name] = toJson(runWithAdmission(model), end);
        result["naive"][name] = toJson(runNaive(model), end);
    }
    return result;
}

const ScenarioRegistration registration { { "outage",
    "Recovery after all backend servers of a service stall or refuse work for a while; -1: not within the run",
    "--targets N (7) --slots N (7) --load R (0.7) --outage-seconds N (5) --seconds N (90) --straggler-share R (0.001) "
    "--one-way-us N (1500)",
    run } };

} // namespace

} // namespace yuccahook::bench
