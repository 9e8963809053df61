#include "FlowCluster.h"
#include "Scenario.h"

namespace yuccahook::bench {

namespace {

FlowClusterOptions clusterOptions(const ScenarioOptions& options)
{
    FlowClusterOptions cluster;
    cluster.seed = options.seed;
    cluster.services = options.number("services", 4);
    cluster.agentsPerService = options.number("targets", 7);
    cluster.balancers = options.number("balancers", 8);
    cluster.flows = options.number("flows", 100'000);
    cluster.packetsPerFlow = options.number("packets", 12);
    cluster.events = options.number("events", 370);
    cluster.seconds = options.real("seconds", 370);
    cluster.crashShare = options.real("crashes", 0.1);
    cluster.loss = options.real("loss", 0);
    cluster.repeat = options.real("repeat", 0);
    cluster.staleSeconds = options.real("stale", 5);
    return cluster;
}

nlohmann::json toJson(const FlowClusterResult& result)
{
    return { { "flows", result.flows }, { "broken_flows", result.broken }, { "misrouted", result.misrouted },
        { "duplicate_targets", result.duplicates }, { "lost_with_their_server", result.lostWithTheirServer },
        { "packets", result.packets }, { "packets_dropped_by_decision", result.undelivered },
        { "first_packets_dropped_by_decision", result.openingsRefused },
        { "opened_while_draining", result.openedWhileDraining }, { "revisions", result.revisions },
        { "forwards_per_packet", static_cast<double>(result.forwards) / static_cast<double>(result.packets) },
        { "peer_messages", result.messages }, { "peer_message_entries", result.messageEntries } };
}

nlohmann::json run(const ScenarioOptions& options)
{
    FlowClusterOptions cluster = clusterOptions(options);
    nlohmann::json result;
    result["ours"] = toJson(FlowCluster(cluster).run());
    cluster.naive = true;
    result["naive"] = toJson(FlowCluster(cluster).run());
    return result;
}

const ScenarioRegistration registration { { "flows",
    "Flows through changes of membership in virtual time; naive is hash-modulo routing",
    "--services N (4) --targets N (7) --balancers N (8) --flows N (100000) --packets N (12) --events N (370) "
    "--seconds S (370) --crashes SHARE (0.1) --loss SHARE (0) --repeat SHARE (0) --stale S (5)",
    run } };

} // namespace

} // namespace yuccahook::bench
