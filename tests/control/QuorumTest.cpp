#include "control/QuorumSimulation.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <string>

using namespace yuccahook::control;
using namespace yuccahook::control::testing;

namespace {

constexpr std::uint64_t faultMillis = 8'000;
constexpr std::uint64_t defaultSeeds = 400;
constexpr std::uint64_t mutationSeeds = 200;

std::uint64_t seedsToRun()
{
    const char* value = std::getenv("YUCCAHOOK_QUORUM_SEEDS");
    return value ? std::strtoull(value, nullptr, 10) : defaultSeeds;
}

std::string violationsOf(std::uint64_t seed, Mutation mutation, bool memberChanges = false)
{
    QuorumSimulation simulation(seed, seed % 4 == 0 ? 5 : 3, mutation);
    simulation.run(2000);
    if (memberChanges)
        simulation.allowMemberChanges();
    simulation.runWithFaults(faultMillis);
    simulation.recoverAndCheck();
    std::string all;
    for (const auto& violation : simulation.violations())
        all += violation + "; ";
    return all;
}

// The first seed whose run reports the violation; 0 when none does.
std::uint64_t seedThatDetects(Mutation mutation, const std::string& violation)
{
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        if (violationsOf(seed, mutation).find(violation) != std::string::npos)
            return seed;
    }
    return 0;
}

} // namespace

TEST_CASE("Control instances form a quorum that keeps its notes and has one leader")
{
    SUBCASE("one to seven empty instances bootstrap a quorum")
    {
        for (std::size_t instances = 1; instances <= 7; ++instances) {
            QuorumSimulation simulation(instances, instances);
            simulation.run(3000);
            CHECK(simulation.isFullyReplicated());
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

    SUBCASE("an instance that returns with an empty disk does not bootstrap another cluster")
    {
        simulation.crash(second);
        simulation.crash(third);
        simulation.loseDisk(first);
        simulation.start(first);
        simulation.run(5000);
        CHECK(simulation.core(first).lastIndex() == 0);
        CHECK(simulation.leader() == 0);
    }

    SUBCASE("accepted notes survive the loss of a second disk right after the first was replaced")
    {
        REQUIRE(simulation.submit(1, 0));
        simulation.run(200);
        simulation.loseDisk(second);
        simulation.start(second);
        while (!simulation.isFullyReplicated())
            simulation.run(10);
        simulation.loseDisk(first);
        simulation.run(3000);
        CHECK(simulation.leader() != 0);
        simulation.start(first);
        simulation.recoverAndCheck();
        CHECK(simulation.violations().empty());
        CHECK(simulation.accepted() == 2);
    }

    SUBCASE("an empty disk does not vote: two of three instances, one of them empty, elect no leader")
    {
        simulation.crash(first);
        simulation.loseDisk(second);
        simulation.start(second);
        simulation.run(10'000);
        CHECK(simulation.leader() == 0);
        simulation.start(first);
        simulation.recoverAndCheck();
        CHECK(simulation.violations().empty());
    }

    SUBCASE("after a power failure the election needs no timeout once all voters are back")
    {
        for (std::uint32_t id = 1; id <= 3; ++id)
            simulation.crash(id);
        SUBCASE("all voters are back: a leader is elected at once")
        {
            for (std::uint32_t id = 1; id <= 3; ++id)
                simulation.start(id);
            simulation.run(100);
            CHECK(simulation.leader() != 0);
        }
        SUBCASE("one voter is missing: a leader is elected after the timeout")
        {
            simulation.start(second);
            simulation.start(third);
            simulation.run(100);
            CHECK(simulation.leader() == 0);
            simulation.run(1000);
            CHECK(simulation.leader() != 0);
        }
    }

    SUBCASE("a leadership transfer needs no election timeout")
    {
        simulation.transferLeadership(first);
        simulation.run(100);
        CHECK(simulation.leader() != 0);
        CHECK(simulation.leader() != first);
    }

    SUBCASE("a follower that receives nothing, but whose messages arrive, does not replace the leader")
    {
        simulation.dropMessages(first, third);
        simulation.dropMessages(second, third);
        const std::uint64_t terms = simulation.termsStarted();
        simulation.run(20'000);
        CHECK(simulation.leader() == first);
        CHECK(simulation.termsStarted() == terms);
    }

    SUBCASE("a leader that receives nothing is replaced and no longer reports that it leads")
    {
        simulation.dropMessages(second, first);
        simulation.dropMessages(third, first);
        simulation.run(5000);
        CHECK(simulation.leader() != first);
        CHECK(simulation.leader() != 0);
        CHECK_FALSE(simulation.core(first).isActiveLeader());
    }

    SUBCASE("an instance that is cut off from the others knows within seconds that it is not up to date with a quorum")
    {
        simulation.dropMessages(first, third);
        simulation.dropMessages(third, first);
        simulation.dropMessages(second, third);
        simulation.dropMessages(third, second);
        simulation.run(4000);
        CHECK_FALSE(simulation.core(third).isCurrent());
        CHECK(simulation.core(second).isCurrent());
    }
}

TEST_CASE("An instance that falls behind costs the leader a bounded number of bytes")
{
    constexpr std::size_t entryBytes = 100'000; // a route table of some 260 routes with its document
    constexpr std::size_t entries = 165;
    constexpr std::size_t largestMessage = 400'000; // an instance has 80 MB, and several such messages in flight
    constexpr std::size_t bytesPerSecond = 1'000'000;
    QuorumSimulation simulation(11, 3);
    simulation.run(2000);
    const std::uint32_t behind = simulation.leader() % 3 + 1;

    SUBCASE("while it does not answer") { simulation.dropMessages(behind, simulation.leader()); }
    SUBCASE("while it gets nothing") { simulation.dropMessages(simulation.leader(), behind); }
    SUBCASE("while it is frozen") { simulation.freeze(behind, 1500); }
    SUBCASE("while it is down") { simulation.crash(behind); }

    for (std::size_t entry = 0; entry < entries; ++entry) {
        REQUIRE(simulation.proposeBytes(entryBytes));
        simulation.run(5);
    }
    const std::size_t before = simulation.bytesSentTo(behind);
    simulation.run(1000);
    CHECK(simulation.bytesSentTo(behind) - before <= bytesPerSecond);

    simulation.healNetwork();
    simulation.start(behind);
    simulation.run(4000);
    CHECK(simulation.isFullyReplicated());
    CHECK(simulation.core(behind).commitIndex() == simulation.core(simulation.leader()).commitIndex());
    CHECK(simulation.largestMessageBytes() <= largestMessage);
}

TEST_CASE("Random faults lose no accepted note")
{
    for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed) {
        CAPTURE(seed);
        CHECK(violationsOf(seed, Mutation::None) == "");
    }
}

TEST_CASE("Random faults lose no accepted note while instances join, leave, freeze and run out of disk space")
{
    for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed) {
        CAPTURE(seed);
        CHECK(violationsOf(seed, Mutation::None, true) == "");
    }
}

// Guards against instances that stay outside the quorum after their disk was full, until no majority is left.
TEST_CASE("Disks that are full one after another leave every instance in the quorum")
{
    constexpr std::uint64_t seeds = 40;
    constexpr std::uint64_t acknowledgementMillis = 1000; // the bound in steady state
    constexpr std::uint64_t longestAcknowledgementMillis = 5000; // the bound while one disk is lost
    constexpr std::uint64_t attemptMillis = 100;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed ", seed);
        const std::uint32_t instances = std::array { 3, 5, 7 }[seed % 3];
        QuorumSimulation simulation(seed, instances);
        simulation.run(2000);
        std::mt19937_64 random(seed);
        std::uint64_t unacknowledgedMillis = 0;
        for (std::uint32_t round = 0; round < 3 * instances; ++round) {
            const std::uint32_t leader = simulation.leader();
            const std::uint32_t full = random() % 2 == 0 && leader != 0 ? leader : round % instances + 1;
            simulation.fillDisk(full, true);
            if (random() % 4 == 0) {
                simulation.crash(full);
                simulation.start(full);
            } else if (random() % 4 == 0) {
                simulation.transferLeadership(full % instances + 1);
            }
            const std::uint64_t fullMillis = 1000 + random() % 4000;
            for (std::uint64_t passed = 0; passed < fullMillis; passed += attemptMillis) {
                const std::string domain = "domain-" + std::to_string(round);
                const auto order = simulation.evacuate(random() % instances + 1, domain, passed % 200 == 0);
                simulation.run(attemptMillis);
                const bool acknowledged = simulation.acknowledgedOrders().contains(order);
                unacknowledgedMillis = acknowledged ? 0 : unacknowledgedMillis + attemptMillis;
                CHECK(unacknowledgedMillis < longestAcknowledgementMillis);
            }
            simulation.fillDisk(full, false);
            const std::uint64_t pauseMillis = random() % 1500;
            simulation.run(pauseMillis);
            unacknowledgedMillis += unacknowledgedMillis > 0 ? pauseMillis : 0;
        }
        simulation.run(longestAcknowledgementMillis);
        CHECK(simulation.isFullyReplicated());
        for (std::uint32_t id = 1; id <= instances; ++id) {
            const auto order = simulation.evacuate(id, "after", id % 2 == 1);
            simulation.run(acknowledgementMillis);
            CHECK(simulation.acknowledgedOrders().contains(order));
        }
        CHECK(simulation.violations().empty());
    }
}

// Guards against an acknowledgement that only the lost disks and memory remember.
TEST_CASE("An acknowledged order survives the loss of two of five disks while all other instances lose power")
{
    constexpr std::uint64_t seeds = 60;
    constexpr std::uint32_t disks = 5;
    constexpr std::uint32_t instances = 8; // three without a disk
    constexpr std::uint64_t catchUpMillis = 6000;
    constexpr std::uint64_t recoveryMillis = 15'000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed ", seed);
        QuorumSimulation simulation(seed, instances, Mutation::None, { 6, 7, 8 });
        std::mt19937_64 random(seed);
        simulation.run(2000);
        std::map<std::string, std::uint64_t> orders;
        for (const char* round : { "first", "second", "third" }) {
            // Two disks are lost, not the same ones each time, some milliseconds after an order was sent.
            const std::uint32_t one = random() % disks;
            const std::uint32_t other = (one + 1 + random() % (disks - 1)) % disks;
            orders[round] = simulation.evacuate(random() % instances + 1, round, true);
            simulation.run(5 + random() % 396);
            for (std::uint32_t id = 1; id <= disks; ++id) {
                if (id == one + 1 || id == other + 1)
                    simulation.loseDisk(id);
                else
                    simulation.crash(id);
            }
            const auto acknowledged = simulation.acknowledgedOrders();
            for (std::uint32_t id = 1; id <= instances; ++id) {
                simulation.run(random() % 300);
                if (id <= disks)
                    simulation.start(id);
                else
                    simulation.startRelay(id, { 1, 2, 3 });
            }
            simulation.run(recoveryMillis);
            INFO(round);
            CHECK(simulation.isFullyReplicated());
            for (const auto& [domain, order] : orders) {
                const auto& evacuated = simulation.evacuated(random() % disks + 1);
                const bool isInForce = std::find(evacuated.begin(), evacuated.end(), domain) != evacuated.end();
                CHECK((isInForce || !acknowledged.contains(order)));
            }
            simulation.run(catchUpMillis);
        }
        CHECK(simulation.violations().empty());
        CHECK_FALSE(simulation.acknowledgedOrders().empty());
    }
}

TEST_CASE("The voters of a quorum change with its instances")
{
    QuorumSimulation simulation(11, 3);
    simulation.run(2000);
    REQUIRE(simulation.submit(1, 0));
    simulation.run(200);

    SUBCASE("a new instance receives the log and becomes a voter")
    {
        simulation.join();
        simulation.run(1000);
        CHECK(simulation.core(simulation.leader()).configuration().voters.size() == 4);
        CHECK(simulation.isFullyReplicated());
    }

    SUBCASE("a new instance replaces a voter that has left permanently")
    {
        simulation.allowMemberChanges();
        const std::uint32_t gone = simulation.leader();
        simulation.leave(gone);
        simulation.run(1500);
        simulation.join();
        simulation.run(2500);
        const auto& voters = simulation.core(simulation.leader()).configuration().voters;
        CHECK(voters.size() == 3);
        CHECK_FALSE(voters.contains(gone));
        CHECK(simulation.isFullyReplicated());
    }

    SUBCASE("each bootstrap peer can be replaced in turn")
    {
        simulation.allowMemberChanges();
        for (std::uint32_t peer = 1; peer <= 3; ++peer) {
            simulation.leave(peer);
            simulation.run(1500);
            simulation.join();
            simulation.run(4000);
            REQUIRE(simulation.isFullyReplicated());
        }
        simulation.recoverAndCheck();
        CHECK(simulation.violations().empty());
        CHECK(simulation.accepted() >= 1);
    }

    SUBCASE("a voter that stays silent is removed while three others remain, and is a voter again after its return")
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

    SUBCASE("a leader that was frozen together with its clock does not lead when it resumes")
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

    SUBCASE("two separate halves of four voters elect no leader, and nothing is lost")
    {
        simulation.join();
        simulation.run(1000);
        for (const std::uint32_t one : { 1U, 2U }) {
            for (const std::uint32_t other : { 3U, 4U }) {
                simulation.dropMessages(one, other);
                simulation.dropMessages(other, one);
            }
        }
        simulation.run(4000);
        CHECK(simulation.leader() == 0);
        simulation.recoverAndCheck();
        CHECK(simulation.violations().empty());
    }
}

TEST_CASE("Bootstrap peers without a disk do not prevent the others from bootstrapping a cluster")
{
    for (const std::uint32_t disklessId : { 1U, 2U, 3U }) {
        QuorumSimulation simulation(5, 3, Mutation::None, { disklessId });
        simulation.run(2000);
        REQUIRE(simulation.leader() != 0);
        CHECK(simulation.core(simulation.leader()).configuration().voters.size() == 2);
        CHECK(simulation.submit(1, 0));
    }
}

TEST_CASE("The checks of the simulation detect deliberate defects")
{
    SUBCASE("an acknowledgement before the sync is detected")
    {
        CHECK(seedThatDetects(Mutation::AckBeforeSync, "committed entry") > 0);
    }

    SUBCASE("an empty disk that votes is detected")
    {
        CHECK(seedThatDetects(Mutation::EmptyDiskVotes, "committed entry") > 0);
    }

    SUBCASE("a lower revision that is applied is detected")
    {
        CHECK(seedThatDetects(Mutation::LowerRevisionApplied, "subscriber's revision decreased") > 0);
    }

    SUBCASE("a read that does not wait for an entry of its own is detected")
    {
        CHECK(seedThatDetects(Mutation::ReadWithoutBarrier, "a read is older than an acknowledgement") != 0);
    }

    SUBCASE("without pre-votes a partly cut off follower raises the term")
    {
        QuorumSimulation simulation(7, 3, Mutation::NoPreVote);
        simulation.run(2000);
        const std::uint32_t first = simulation.leader();
        REQUIRE(first != 0);
        simulation.dropMessages(first, first % 3 + 1);
        simulation.dropMessages((first + 1) % 3 + 1, first % 3 + 1);
        const std::uint64_t terms = simulation.termsStarted();
        simulation.run(20'000);
        CHECK(simulation.termsStarted() > terms);
    }
}
