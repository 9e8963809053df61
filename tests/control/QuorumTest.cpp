#include "control/QuorumSimulation.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace yuccahook::control;
using namespace yuccahook::control::testing;

namespace {

constexpr std::uint64_t faultMillis = 8'000;
constexpr std::uint64_t defaultSeeds = 400;
constexpr std::uint64_t mutationSeeds = 200;

std::uint64_t seedsToRun()
{
    const char* asked = std::getenv("YUCCAHOOK_QUORUM_SEEDS");
    return asked ? std::strtoull(asked, nullptr, 10) : defaultSeeds;
}

std::string violationsOf(std::uint64_t seed, Mutation mutation, bool changesMembers = false)
{
    QuorumSimulation simulation(seed, seed % 4 == 0 ? 5 : 3, mutation);
    simulation.run(2000);
    if (changesMembers)
        simulation.changeMembers();
    simulation.runWithFaults(faultMillis);
    simulation.settle();
    std::string all;
    for (const auto& violation : simulation.violations())
        all += violation + "; ";
    return all;
}

// The first seed that shows the defect.
std::uint64_t seedThatFinds(Mutation mutation, const std::string& violation)
{
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        if (violationsOf(seed, mutation).find(violation) != std::string::npos)
            return seed;
    }
    return 0;
}

} // namespace

TEST_CASE("A quorum of control instances")
{
    SUBCASE("is made by instances that are all empty, of any number from one to seven")
    {
        for (std::size_t instances = 1; instances <= 7; ++instances) {
            QuorumSimulation simulation(instances, instances);
            simulation.run(3000);
            CHECK(simulation.isRepaired());
            CHECK(simulation.submit(1, 0));
            simulation.run(200);
            CHECK(simulation.accepted() == 1);
        }
    }

    QuorumSimulation simulation(7, 3);
    simulation.run(2000);
    const std::uint32_t first = simulation.leader();
    REQUIRE(first != 0);
    const std::uint32_t second = first % 3 + 1;
    const std::uint32_t third = second % 3 + 1;

    SUBCASE("isn't made again by an instance that comes back empty")
    {
        simulation.crash(second);
        simulation.crash(third);
        simulation.loseDisk(first);
        simulation.start(first);
        simulation.run(5000);
        CHECK(simulation.core(first).lastIndex() == 0);
        CHECK(simulation.leader() == 0);
    }

    SUBCASE("keeps notes over a second loss right after the repair")
    {
        REQUIRE(simulation.submit(1, 0));
        simulation.run(200);
        simulation.loseDisk(second);
        simulation.start(second);
        while (!simulation.isRepaired())
            simulation.run(10);
        simulation.loseDisk(first);
        simulation.run(3000);
        CHECK(simulation.leader() != 0);
        simulation.start(first);
        simulation.settle();
        CHECK(simulation.violations().empty());
        CHECK(simulation.accepted() == 2);
    }

    SUBCASE("does not count an empty disk: two instances of three, one of them empty, elect nobody")
    {
        simulation.crash(first);
        simulation.loseDisk(second);
        simulation.start(second);
        simulation.run(10'000);
        CHECK(simulation.leader() == 0);
        simulation.start(first);
        simulation.settle();
        CHECK(simulation.violations().empty());
    }

    SUBCASE("elects at once when all voters are back from a loss of power, as usual while one is missing")
    {
        for (std::uint32_t id = 1; id <= 3; ++id)
            simulation.crash(id);
        SUBCASE("all")
        {
            for (std::uint32_t id = 1; id <= 3; ++id)
                simulation.start(id);
            simulation.run(100);
            CHECK(simulation.leader() != 0);
        }
        SUBCASE("one is missing")
        {
            simulation.start(second);
            simulation.start(third);
            simulation.run(100);
            CHECK(simulation.leader() == 0);
            simulation.run(1000);
            CHECK(simulation.leader() != 0);
        }
    }

    SUBCASE("hands the lead over without an election timeout")
    {
        simulation.handOver(first);
        simulation.run(100);
        CHECK(simulation.leader() != 0);
        CHECK(simulation.leader() != first);
    }

    SUBCASE("keeps its leader when a follower hears nobody but is heard")
    {
        simulation.cut(first, third);
        simulation.cut(second, third);
        const std::uint64_t terms = simulation.termsBegun();
        simulation.run(20'000);
        CHECK(simulation.leader() == first);
        CHECK(simulation.termsBegun() == terms);
    }

    SUBCASE("replaces a leader that nobody is heard by, and that leader says so")
    {
        simulation.cut(second, first);
        simulation.cut(third, first);
        simulation.run(5000);
        CHECK(simulation.leader() != first);
        CHECK(simulation.leader() != 0);
        CHECK_FALSE(simulation.core(first).leads());
    }

    SUBCASE("knows within seconds that it is cut off")
    {
        simulation.cut(first, third);
        simulation.cut(third, first);
        simulation.cut(second, third);
        simulation.cut(third, second);
        simulation.run(4000);
        CHECK_FALSE(simulation.core(third).isCurrent());
        CHECK(simulation.core(second).isCurrent());
    }
}

TEST_CASE("Random faults lose nothing that was accepted")
{
    for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed) {
        CAPTURE(seed);
        CHECK(violationsOf(seed, Mutation::None) == "");
    }
}

TEST_CASE("Random faults lose nothing while instances join, leave, freeze and run out of disk")
{
    for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed) {
        CAPTURE(seed);
        CHECK(violationsOf(seed, Mutation::None, true) == "");
    }
}

TEST_CASE("The voters of a quorum change with its instances")
{
    QuorumSimulation simulation(11, 3);
    simulation.run(2000);
    REQUIRE(simulation.submit(1, 0));
    simulation.run(200);

    SUBCASE("a new instance gets the log, then a vote")
    {
        simulation.join();
        simulation.run(1000);
        CHECK(simulation.core(simulation.leader()).configuration().voters.size() == 4);
        CHECK(simulation.isRepaired());
    }

    SUBCASE("an instance that is gone for good gives its place to the one that comes")
    {
        simulation.changeMembers();
        const std::uint32_t gone = simulation.leader();
        simulation.leave(gone);
        simulation.run(1500);
        simulation.join();
        simulation.run(2500);
        const auto& voters = simulation.core(simulation.leader()).configuration().voters;
        CHECK(voters.size() == 3);
        CHECK_FALSE(voters.contains(gone));
        CHECK(simulation.isRepaired());
    }

    SUBCASE("each founder may be replaced in turn")
    {
        simulation.changeMembers();
        for (std::uint32_t founder = 1; founder <= 3; ++founder) {
            simulation.leave(founder);
            simulation.run(1500);
            simulation.join();
            simulation.run(4000);
            REQUIRE(simulation.isRepaired());
        }
        simulation.settle();
        CHECK(simulation.violations().empty());
        CHECK(simulation.accepted() >= 1);
    }

    SUBCASE("a voter that stays away leaves while more than three stay, and returns")
    {
        simulation.join();
        simulation.run(1000);
        simulation.crash(4);
        simulation.run(15'000);
        CHECK(simulation.core(simulation.leader()).configuration().voters.size() == 3);
        simulation.start(4);
        simulation.run(2000);
        CHECK(simulation.core(simulation.leader()).configuration().voters.size() == 4);
    }

    SUBCASE("a leader that stood still with its clock does not lead when it wakes")
    {
        const std::uint32_t frozen = simulation.leader();
        simulation.freeze(frozen, 5000);
        simulation.run(4000);
        CHECK(simulation.leader() != 0);
        CHECK(simulation.submit(2, 0));
        simulation.run(2000);
        CHECK(simulation.core(frozen).role() != QuorumRole::Leader);
        CHECK(simulation.accepted() == 2);
    }

    SUBCASE("halves of four elect nobody, and nothing is lost")
    {
        simulation.join();
        simulation.run(1000);
        for (const std::uint32_t one : { 1U, 2U }) {
            for (const std::uint32_t other : { 3U, 4U }) {
                simulation.cut(one, other);
                simulation.cut(other, one);
            }
        }
        simulation.run(4000);
        CHECK(simulation.leader() == 0);
        simulation.settle();
        CHECK(simulation.violations().empty());
    }
}

TEST_CASE("Founders without a disk do not keep the others from founding")
{
    for (const std::uint32_t relay : { 1U, 2U, 3U }) {
        QuorumSimulation simulation(5, 3, Mutation::None, { relay });
        simulation.run(2000);
        REQUIRE(simulation.leader() != 0);
        CHECK(simulation.core(simulation.leader()).configuration().voters.size() == 2);
        CHECK(simulation.submit(1, 0));
    }
}

TEST_CASE("The checks find a defect when there is one")
{
    SUBCASE("acknowledgement before the sync") { CHECK(seedThatFinds(Mutation::AckBeforeSync, "committed entry") > 0); }

    SUBCASE("an empty disk that votes") { CHECK(seedThatFinds(Mutation::EmptyDiskVotes, "committed entry") > 0); }

    SUBCASE("a lower revision that is applied")
    {
        CHECK(seedThatFinds(Mutation::LowerRevisionApplied, "subscriber's revision fell") > 0);
    }

    SUBCASE("an election without a pre-vote")
    {
        QuorumSimulation simulation(7, 3, Mutation::NoPreVote);
        simulation.run(2000);
        const std::uint32_t first = simulation.leader();
        REQUIRE(first != 0);
        simulation.cut(first, first % 3 + 1);
        simulation.cut((first + 1) % 3 + 1, first % 3 + 1);
        const std::uint64_t terms = simulation.termsBegun();
        simulation.run(20'000);
        CHECK(simulation.termsBegun() > terms);
    }
}
