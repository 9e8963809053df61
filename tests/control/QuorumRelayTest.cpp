#include "control/QuorumSimulation.h"

#include <doctest/doctest.h>

using namespace yuccahook::control;
using namespace yuccahook::control::testing;

namespace {

constexpr std::uint32_t instances = 20;
constexpr std::uint32_t disks = 5;
constexpr std::uint64_t acknowledgementMillis = 1000; // the bound in steady state
constexpr std::uint64_t electionMillis = 2000;

std::set<std::uint32_t> disklessIds()
{
    std::set<std::uint32_t> ids;
    for (std::uint32_t id = disks + 1; id <= instances; ++id)
        ids.insert(id);
    return ids;
}

// The instances without a disk at which an order is not acknowledged within the bound.
std::set<std::uint32_t> unacknowledged(QuorumSimulation& simulation)
{
    std::set<std::uint32_t> failed;
    for (const std::uint32_t id : disklessIds()) {
        const auto order = simulation.evacuate(id, "domain-" + std::to_string(id), true);
        simulation.run(acknowledgementMillis);
        if (!simulation.acknowledgedOrders().contains(order))
            failed.insert(id);
    }
    return failed;
}

} // namespace

// Guards against changes without an acknowledgement at sites where few control instances have a disk: the others
// answered every order with 503, so that the operator's picks decided when it was acknowledged, if at all.
TEST_CASE("An order that reaches an instance without a disk is acknowledged by the quorum")
{
    QuorumSimulation simulation(1, instances, Mutation::None, disklessIds());
    simulation.run(electionMillis);
    const std::uint32_t leader = simulation.leader();
    REQUIRE(leader != 0);

    SUBCASE("while nothing fails") { CHECK(unacknowledged(simulation).empty()); }

    SUBCASE("after the leader was killed")
    {
        simulation.crash(leader);
        simulation.run(electionMillis);
        CHECK(unacknowledged(simulation).empty());
    }

    SUBCASE("after two of five disks were lost at once")
    {
        simulation.loseDisk(leader);
        simulation.loseDisk(leader % disks + 1);
        simulation.run(electionMillis);
        CHECK(unacknowledged(simulation).empty());
    }

    SUBCASE("while the leader is frozen")
    {
        simulation.freeze(leader, 60'000);
        simulation.run(electionMillis);
        CHECK(unacknowledged(simulation).empty());
    }

    SUBCASE("after a restart that left it only addresses of other instances without a disk")
    {
        simulation.startRelay(instances, { disks + 1, disks + 2 });
        simulation.run(electionMillis);
        CHECK(unacknowledged(simulation).empty());
    }

    CHECK(simulation.violations().empty());
}

TEST_CASE("An order that reaches an instance without a disk is refused while there is no quorum")
{
    QuorumSimulation simulation(2, instances, Mutation::None, disklessIds());
    simulation.run(electionMillis);
    for (const std::uint32_t id : { 1U, 2U, 3U })
        simulation.crash(id);
    simulation.run(electionMillis);
    CHECK(unacknowledged(simulation) == disklessIds());
}

// Guards against a quorum that loses its voters one by one, because the instances that replace them are given addresses
// of instances without a disk only, which did not say who votes.
TEST_CASE("An instance that knows only instances without a disk finds the quorum")
{
    QuorumSimulation simulation(3, instances, Mutation::None, disklessIds());
    simulation.run(electionMillis);
    const std::uint32_t gone = simulation.leader() % disks + 1;
    simulation.leave(gone);
    const std::uint32_t joined = simulation.joinKnowing({ disks + 1, disks + 2 });
    simulation.run(5000);
    REQUIRE(simulation.leader() != 0);
    CHECK(simulation.core(simulation.leader()).configuration().voters.contains(joined));
    CHECK_FALSE(simulation.core(simulation.leader()).configuration().voters.contains(gone));

    SUBCASE("and the instances without a disk name the new voters to subscribers")
    {
        for (const std::uint32_t id : disklessIds())
            CHECK(simulation.relay(id).voters() == simulation.core(simulation.leader()).configuration().voters);
    }
}
