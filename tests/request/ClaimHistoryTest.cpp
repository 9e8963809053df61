#include "ClaimSimulation.h"

#include <doctest/doctest.h>

using namespace yuccahook;
using request::ClaimSimulation;
using request::Mutation;
using request::SimulationOptions;

namespace {

constexpr std::uint64_t seeds = 60;
constexpr std::uint64_t staleCopySeed = 1555; // a copy that never stood made a key that had run look not run
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

TEST_CASE("A keyed request runs at most once whatever crashes, is cut off, late, lost or repeated")
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
        CHECK(findings.unsettled == 0);
        CHECK(findings.reuseTaken == 0);
        answered += findings.answered;
        repeated += findings.repeated;
        losses += findings.crashes + findings.cuts;
    }
    CHECK(answered > seeds * 40); // of 60 keys a seed
    CHECK(repeated > seeds);
    CHECK(losses > seeds * 4);
    MESSAGE("answered " << answered << ", repeated " << repeated << ", agents lost " << losses);
}

TEST_CASE("The history checker finds every fault that is put in on purpose")
{
    SUBCASE("requests that run without a claim") { CHECK(isCaught(Mutation::NoClaim)); }
    SUBCASE("a retry of what may have run") { CHECK(isCaught(Mutation::BlindRetry)); }
    SUBCASE("answers given to another request") { CHECK(isCaught(Mutation::CrossedAnswers)); }
    SUBCASE("answers cut short") { CHECK(isCaught(Mutation::TruncatedAnswers)); }
    SUBCASE("agents that register nothing with a new home") { CHECK(isCaught(Mutation::EmptyRegistration)); }
    SUBCASE("\"not run\" said of what may have run") { CHECK(isCaught(Mutation::FalseNotRun)); }
}
