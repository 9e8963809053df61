#include "AdmissionModel.h"
#include "Scenario.h"

namespace yuccahook::bench {

namespace {

using request::Discipline;

constexpr Time shortTime = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds unlimited = std::chrono::minutes(10);

ModelOptions modelOf(const ScenarioOptions& options)
{
    ModelOptions model;
    model.seed = options.seed;
    model.targets = static_cast<std::uint32_t>(options.number("targets", 7));
    model.slots = static_cast<std::uint32_t>(options.number("slots", 7));
    model.oneWay = std::chrono::microseconds(options.number("one-way-us", 1500));
    model.duration = std::chrono::seconds(options.number("seconds", 110));
    model.loadInterval = std::chrono::milliseconds(options.number("load-interval-ms", 0));
    model.load = [load = options.real("load", 0.7)](Time) { return load; };
    model.faults.stragglerShare = options.real("straggler-share", 0.001);
    const double longFactor = options.real("long-factor", 20);
    const double longShare = options.real("long-share", 0.5);
    const auto longTime = Time(static_cast<Time::rep>(static_cast<double>(shortTime.count()) * longFactor));
    const double deviation = options.real("deviation", 0.7);
    model.workloads = { { "short", "GET", "/status/1", shortTime, deviation, 1 - longShare, unlimited, true, 0 },
        { "long", "POST", "/orders", longTime, deviation, longShare, unlimited, false, 0 } };
    model.admission.maximumWait = unlimited; // no refusals, so that only the order of service matters
    model.admission.learnLimit = false;
    return model;
}

/// The same short requests, with and without long ones beside them.
struct RunPair {
    ModelResult withLong;
    ModelResult withoutLong;
};

using RunModel = ModelResult (*)(const ModelOptions&);

RunPair runPair(ModelOptions model, RunModel run)
{
    RunPair pair { run(model), {} };
    model.workloads[1].loadShare = 0;
    pair.withoutLong = run(model);
    return pair;
}

nlohmann::json toJson(const RunPair& pair, double naiveLongSeconds)
{
    const double withLong = pair.withLong.percentileMillis("short", 0.99);
    const double withoutLong = pair.withoutLong.percentileMillis("short", 0.99);
    return { { "short_p50_ms", pair.withLong.percentileMillis("short", 0.5) }, { "short_p99_ms", withLong },
        { "short_p50_alone_ms", pair.withoutLong.percentileMillis("short", 0.5) },
        { "short_p99_alone_ms", withoutLong }, { "short_p99_ratio", withLong / withoutLong },
        { "long_p50_ms", pair.withLong.percentileMillis("long", 0.5) },
        { "long_p99_ms", pair.withLong.percentileMillis("long", 0.99) },
        { "long_throughput_ratio", pair.withLong.workloads.at("long").inTimeServiceSecondsInRun / naiveLongSeconds },
        { "above_slots", pair.withLong.aboveSlots }, { "ran_twice", pair.withLong.ranTwice },
        { "false_not_run", pair.withLong.falseNotRun }, { "offers", pair.withLong.offers },
        { "offers_taken", pair.withLong.offersTaken } };
}

nlohmann::json run(const ScenarioOptions& options)
{
    ModelOptions model = modelOf(options);
    const RunPair naive = runPair(model, runNaive);
    const double naiveLongSeconds = naive.withLong.workloads.at("long").inTimeServiceSecondsInRun;
    nlohmann::json result { { "naive", toJson(naive, naiveLongSeconds) } };
    result["ours"] = toJson(runPair(model, runWithAdmission), naiveLongSeconds);
    for (std::size_t index = 0; index < kernel::EnumNames<Discipline>::names.size(); ++index) {
        model.admission.discipline = static_cast<Discipline>(index);
        for (const bool offers : { false, true }) {
            model.admission.offers = offers;
            const std::string name(kernel::nameOf(model.admission.discipline));
            result["disciplines"][name + (offers ? "+offer" : "")]
                = toJson(runPair(model, runWithAdmission), naiveLongSeconds);
        }
    }
    return result;
}

const ScenarioRegistration registration { { "head-of-line",
    "Latency of short requests beside long ones, by queueing discipline",
    "--targets N (7) --slots N (7) --load R (0.7) --long-share R (0.5) --long-factor R (20) --straggler-share R "
    "(0.001) --deviation R (0.7, of the logarithm) --load-interval-ms N (0: with offers only) --one-way-us N (1500) "
    "--seconds N (110)",
    run } };

} // namespace

} // namespace yuccahook::bench
