#include "ClaimSimulation.h"

#include <doctest/doctest.h>

using namespace yuccahook;
using request::ClaimSimulation;
using request::Mutation;
using request::SimulationOptions;

namespace {

constexpr std::uint64_t seeds = 60;
constexpr std::uint64_t staleCopySeed = 1555; // an unconfirmed stale copy made a key that had run look not run
constexpr std::uint64_t mutationSeeds = 20;

bool isCaught(Mutation mutation)
{
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        SimulationOptions options;
        options.seed = seed;
        options.mutation = mutation;
        if (!ClaimSimulation(options).run().clean())
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("A keyed request runs at most once despite crashes, partitions, and delayed, lost or duplicated messages")
{
    std::uint64_t answered = 0;
    std::uint64_t repeated = 0;
    std::uint64_t losses = 0;
    for (std::uint64_t run = 1; run <= seeds; ++run) {
        const std::uint64_t seed = run < seeds ? run : staleCopySeed;
        CAPTURE(seed);
        SimulationOptions options;
        options.seed = seed;
        const auto findings = ClaimSimulation(options).run();
        CHECK(findings.ranTwice == 0);
        CHECK(findings.falseNotRun == 0);
        CHECK(findings.wrongAnswers == 0);
        CHECK(findings.lostAnswers == 0);
        CHECK(findings.unresolved == 0);
        CHECK(findings.reuseViolations == 0);
        answered += findings.answered;
        repeated += findings.repeated;
        losses += findings.crashes + findings.partitions;
    }
    CHECK(answered > seeds * 40); // of 60 keys for each seed
    CHECK(repeated > seeds);
    CHECK(losses > seeds * 4);
    MESSAGE("answered " << answered << ", repeated " << repeated << ", agents lost " << losses);
}

TEST_CASE("The history checker finds every injected fault")
{
    SUBCASE("Requests run without a claim") { CHECK(isCaught(Mutation::NoClaim)); }
    SUBCASE("A request that may have run is retried") { CHECK(isCaught(Mutation::BlindRetry)); }
    SUBCASE("An answer is given to another request") { CHECK(isCaught(Mutation::CrossedAnswers)); }
    SUBCASE("Answers are truncated") { CHECK(isCaught(Mutation::TruncatedAnswers)); }
    SUBCASE("Agents report no claims to a new home agent") { CHECK(isCaught(Mutation::EmptyCollection)); }
    SUBCASE("A request that may have run is reported as \"not run\"") { CHECK(isCaught(Mutation::FalseNotRun)); }
}
