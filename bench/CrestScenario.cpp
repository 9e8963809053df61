#include "AdmissionModel.h"
#include "Scenario.h"

#include <algorithm>

namespace yuccahook::bench {

namespace {

constexpr double baseLoad = 0.6;

// Load over capacity: constant for 10 s, then a linear rise to the peak, which lasts to the end of the run.
double rampLoad(Time time, double peak, Time rampTime)
{
    const Time start = std::chrono::seconds(10);
    if (time < start)
        return baseLoad;
    const double rise = static_cast<double>((time - start).count()) / static_cast<double>(rampTime.count());
    return baseLoad + (peak - baseLoad) * std::min(1.0, rise);
}

ModelOptions modelOf(const ScenarioOptions& options, double peak)
{
    ModelOptions model;
    model.seed = options.seed;
    model.targets = static_cast<std::uint32_t>(options.number("targets", 7));
    model.slots = static_cast<std::uint32_t>(options.number("slots", 7));
    model.oneWay = std::chrono::microseconds(options.number("one-way-us", 1500));
    const Time ramp = std::chrono::seconds(options.number("ramp-seconds", 3));
    model.duration = std::chrono::seconds(options.number("seconds", 60));
    model.measureFrom = std::chrono::seconds(10) + ramp;
    model.load = [peak, ramp](Time time) { return rampLoad(time, peak, ramp); };
    model.faults.stragglerShare = options.real("straggler-share", 0.001);
    model.faults.shedShare = options.real("shed-share", 0);
    model.faults.lyingLoad = options.number("lying-load", 0) != 0;
    model.faults.slowFactor = options.real("slow-factor", 1);
    model.faults.coldUntil = std::chrono::seconds(options.number("cold-until-s", 0));
    model.admission.slowStart = std::chrono::seconds(options.number("slow-start-s", 0));
    model.workloads = { { "status", "GET", "/status/1", std::chrono::milliseconds(20), 0.7, 0.5,
                            std::chrono::seconds(2), true, 1 },
        { "bid", "POST", "/bids", std::chrono::milliseconds(30), 0.7, 0.2, std::chrono::seconds(5), false, 0 },
        { "photos", "GET", "/photos/1", std::chrono::milliseconds(400), 0.7, 0.3, std::chrono::seconds(10), true, 2 } };
    return model;
}

// Adds the lower goodput and the summed faults of both peaks.
void addWorstOfPeaks(nlohmann::json& version)
{
    const auto& low = version["at_2x"];
    const auto& high = version["at_5x"];
    const auto goodput = std::min(low["goodput_ratio"].get<double>(), high["goodput_ratio"].get<double>());
    const auto sum = [&](const char* name) { return low[name].get<std::uint64_t>() + high[name].get<std::uint64_t>(); };
    const nlohmann::json worst { { "goodput_ratio", goodput }, { "ran_twice", sum("ran_twice") },
        { "false_not_run", sum("false_not_run") } };
    version.update(worst);
}

nlohmann::json run(const ScenarioOptions& options)
{
    nlohmann::json result;
    for (const double peak : { 2.0, 5.0 }) {
        const ModelOptions model = modelOf(options, peak);
        const std::string name = peak == 2 ? "at_2x" : "at_5x";
        result["ours"][name] = runWithAdmission(model).toJson();
        result["naive"][name] = runNaive(model).toJson();
    }
    addWorstOfPeaks(result["ours"]);
    addWorstOfPeaks(result["naive"]);
    return result;
}

const ScenarioRegistration registration { { "crest",
    "Goodput and refusals while demand rises within seconds to 2 and 5 times the capacity",
    "--targets N (7) --slots N (7) --ramp-seconds N (3) --seconds N (60) --straggler-share R (0.001) --shed-share R "
    "(0) --lying-load 0|1 --slow-factor R (1) --cold-until-s N (0) --slow-start-s N (0) --one-way-us N (1500)",
    run } };

} // namespace

} // namespace yuccahook::bench
