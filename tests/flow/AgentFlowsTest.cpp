#include "FlowCluster.h"

#include <doctest/doctest.h>

using namespace yuccahook;

namespace {

constexpr std::uint64_t firstSeed = 1;

struct Totals {
    std::uint64_t wrong = 0;
    std::uint64_t lostPackets = 0;
    std::uint64_t flows = 0;
    std::uint64_t recovered = 0;
    std::uint64_t placed = 0;
};

// Runs fixed seeds against the global table of the cluster.
Totals runSeeds(bench::FlowClusterOptions options, std::uint64_t count)
{
    Totals totals;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        options.seed = seed;
        const auto result = bench::FlowCluster(options).run();
        const auto wrong = result.broken + result.misrouted + result.duplicates + result.openedWhileDraining;
        INFO("seed ", seed, ": broken ", result.broken, ", misrouted ", result.misrouted, ", twice open ",
            result.duplicates, ", opened while draining ", result.openedWhileDraining, ", undelivered ",
            result.undelivered, ", waiting ", result.bucketsWaiting);
        if (!options.alterMessage && !options.alterDecision) {
            CHECK(wrong == 0);
            CHECK(result.undelivered == 0);
            CHECK(result.bucketsWaiting == 0);
        }
        totals.wrong += wrong;
        totals.lostPackets += result.undelivered;
        totals.flows += result.flows;
        totals.recovered += result.counts.bucketsRecovered;
        totals.placed += result.counts.placedOnPeers;
    }
    return totals;
}

} // namespace

TEST_CASE("Flows survive random schedules of changes as in a table that knows everything")
{
    bench::FlowClusterOptions options;

    SUBCASE("when every change is planned")
    {
        options.crashShare = 0;
        const auto totals = runSeeds(options, 25);
        CHECK(totals.flows == 25 * options.flows);
        CHECK(totals.placed > 0);
    }

    SUBCASE("when agents crash, also two at once, and come back with new ids")
    {
        CHECK(runSeeds(options, 25).recovered > 0);
    }

    SUBCASE("when datagrams and messages are lost, late and repeated")
    {
        options.loss = 0.1;
        options.repeat = 0.1;
        runSeeds(options, 25);
    }

    SUBCASE("when balancers keep old revisions for long and have no hints")
    {
        options.staleSeconds = 5;
        options.hints = 0;
        options.repeat = 0.05;
        runSeeds(options, 25);
    }
}

TEST_CASE("The check of the flows sees what goes wrong without a part of the protocol")
{
    bench::FlowClusterOptions options;

    SUBCASE("routing by hash and modulo")
    {
        options.naive = true;
        options.alterDecision = [](flow::Decision&) {};
        CHECK(runSeeds(options, 2).wrong > 100);
    }

    SUBCASE("handover without entries")
    {
        options.alterMessage = [](flow::PeerMessage& message) {
            message.entries.clear();
            return true;
        };
        CHECK(runSeeds(options, 4).wrong > 0);
    }

    SUBCASE("no registration by holders when an owner dies")
    {
        options.alterMessage = [](flow::PeerMessage& message) {
            const bool former = !message.buckets.empty() && message.buckets.front().wasOwner;
            if (message.kind == flow::PeerKind::Handover && !former)
                message.entries.clear();
            return true;
        };
        CHECK(runSeeds(options, 6).wrong > 0);
    }

    SUBCASE("no asking of the former owner")
    {
        options.alterDecision = [](flow::Decision& decision) {
            if (decision.verdict == flow::Verdict::Ask)
                decision.verdict = flow::Verdict::Refuse;
        };
        CHECK(runSeeds(options, 4).lostPackets > 0);
    }

    SUBCASE("an agent that opens what a former owner placed too late")
    {
        options.loss = 0.3;
        options.repeat = 0.8;
        options.lateSeconds = 2;
        options.leaseSeconds = 0.1;
        options.crashShare = 0.6;
        CHECK(runSeeds(options, 4).wrong == 0);
        options.alterDecision = [](flow::Decision& decision) {
            if (decision.routing.route == flow::Route::Placed)
                decision.routing.epoch = ~0ULL;
        };
        CHECK(runSeeds(options, 20).wrong > 0);
    }
}
