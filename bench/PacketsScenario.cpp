#include "PacketModel.h"
#include "Scenario.h"

namespace yuccahook::bench {

namespace {

nlohmann::json toJson(const PacketModelResult& figures)
{
    const double requests = double(figures.requests);
    return { { "in_goal_share", figures.goalShare() }, { "late_share", double(figures.late) / requests },
        { "failed_share", double(figures.failed) / requests }, { "p50_ms", figures.p50 }, { "p99_ms", figures.p99 },
        { "cross_bytes_per_request", double(figures.crossBytes) / requests },
        { "busiest_over_mean", figures.busiestOverMean }, { "broken_flows", figures.brokenFlows },
        { "ran_twice", figures.ranTwice } };
}

nlohmann::json run(const ScenarioOptions& options)
{
    PacketModelOptions model;
    model.seed = options.seed;
    model.domains = static_cast<std::uint32_t>(options.number("domains", model.domains));
    model.balancers = static_cast<std::uint32_t>(options.number("balancers", model.balancers));
    model.agents = static_cast<std::uint32_t>(options.number("agents", model.agents));
    model.slots = static_cast<std::uint32_t>(options.number("slots", model.slots));
    model.queueCapacity = static_cast<std::uint32_t>(options.number("queue", model.queueCapacity));
    model.serviceTimeMillis = options.real("work-ms", model.serviceTimeMillis);
    model.latencyGoalMillis = static_cast<std::uint32_t>(options.number("goal-ms", model.latencyGoalMillis));
    model.seconds = options.real("seconds", model.seconds);
    const double slowFactor = options.real("slow-factor", 1);
    nlohmann::json result;
    for (const double load : { 0.34, 0.55, 0.85, 1.2 }) {
        model.load = load;
        const std::string name = "at_" + std::to_string(static_cast<int>(load * 100)) + "_percent";
        for (const auto& [version, policy] : { std::pair { "ours", PacketPolicy::Ours },
                 std::pair { "naive", PacketPolicy::Naive }, std::pair { "ideal", PacketPolicy::Ideal } }) {
            model.policy = policy;
            PacketModel site(model);
            site.at(model.seconds / 4, [&] { site.slowBackend(0, slowFactor, model.seconds / 2); });
            result[version][name] = toJson(site.run());
        }
    }
    return result;
}

const ScenarioRegistration registration { { "packets",
    "Requests on packet flows at 34, 55, 85 and 120 % of the slots; naive is placement by hash, ideal sees every load",
    "--domains N (3) --balancers N (2) --agents N (3) --slots N (4) --queue N (16) --work-ms R (40) --goal-ms N (250) "
    "--seconds R (10) --slow-factor R (1)",
    run } };

} // namespace

} // namespace yuccahook::bench
