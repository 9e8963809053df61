#include "control/Command.h"
#include "control/QuorumSimulation.h"

#include <doctest/doctest.h>

namespace yuccahook::control {

namespace {

constexpr std::uint32_t instances = 5;

flow::RouteTable tableOfVersion(std::uint64_t version)
{
    flow::RouteTable table;
    table.version = version;
    table.document = "version " + std::to_string(version);
    table.services.push_back({ "listings", {} });
    return table;
}

} // namespace

// Guards against a log that fills with copies of a large table whose operator repeats the order before it is committed,
// so that the next change waits until all of them are replicated and applied.
TEST_CASE("An order that is repeated while it is under way adds no entry to the log")
{
    testing::QuorumSimulation simulation(1, instances);
    simulation.run(2000);
    const std::uint32_t leader = simulation.leader();
    REQUIRE(leader != 0);
    const auto first = simulation.publishRoutes(tableOfVersion(2));
    REQUIRE(first != 0);

    SUBCASE("the same table shares its entry")
    {
        CHECK(simulation.publishRoutes(tableOfVersion(2)) == first);
        CHECK(simulation.publishRoutes(tableOfVersion(2)) == first);
        CHECK(simulation.core(leader).lastIndex() == first);
    }
    SUBCASE("another table of the same version, and another version, get entries of their own")
    {
        auto other = tableOfVersion(2);
        other.document = "another content";
        CHECK(simulation.publishRoutes(other) == first + 1);
        CHECK(simulation.publishRoutes(tableOfVersion(3)) == first + 2);
        CHECK(simulation.publishRoutes(tableOfVersion(2)) == first);
    }
    SUBCASE("without a leader nothing is proposed, and the next leader has the entry or not")
    {
        simulation.crash(leader);
        CHECK(simulation.publishRoutes(tableOfVersion(2)) == 0);
        simulation.run(3000);
        CHECK(simulation.publishRoutes(tableOfVersion(3)) != 0);
    }
    simulation.run(3000);
    for (std::uint32_t id = 1; id <= instances; ++id) {
        if (id != leader || simulation.leader() == leader)
            CHECK(simulation.routeVersion(id) >= 2);
    }
    CHECK(simulation.violations().empty());
}

TEST_CASE("Only commands whose place in the log does not matter share an entry")
{
    CHECK(encode(PublishRoutes { tableOfVersion(1) }).isRepeatable);
    // A start, an end and the same start again must not be taken for two orders.
    CHECK_FALSE(encode(SetEvacuation { "domain", true }).isRepeatable);
    // The entry of a deposed leader may be committed before what was acknowledged before the read.
    CHECK_FALSE(encode(Barrier {}).isRepeatable);
    CHECK_FALSE(encode(UpdateMembers {}).isRepeatable);
    CHECK_FALSE(encode(SubmitNote { "{}" }).isRepeatable);
}

} // namespace yuccahook::control
