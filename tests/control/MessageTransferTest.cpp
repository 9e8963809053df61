#include "control/MessageTransfer.h"

#include "control/QuorumSimulation.h"

#include <doctest/doctest.h>

namespace yuccahook::control {

namespace {

constexpr std::uint32_t instances = 5;
constexpr std::uint64_t bytesPerMilli = 1000; // 8 Mbit/s
constexpr std::size_t largeCommand = 3'000'000; // takes 3 s on such a link; an election starts after 0.5 to 1 s

// Starts a quorum, proposes a large command and returns the leader.
std::uint32_t proposeLarge(testing::QuorumSimulation& simulation)
{
    simulation.run(2000);
    simulation.limitLinks(bytesPerMilli);
    const std::uint32_t leader = simulation.leader();
    REQUIRE(leader != 0);
    REQUIRE(simulation.proposeBytes(largeCommand));
    return leader;
}

bool isCommittedEverywhere(const testing::QuorumSimulation& simulation, std::uint64_t index)
{
    for (std::uint32_t id = 1; id <= instances; ++id) {
        if (simulation.core(id).commitIndex() < index)
            return false;
    }
    return true;
}

} // namespace

// Guards against leaders that change, and changes that are never confirmed, because a large message is given up after a
// fixed time and holds up the heartbeats behind it.
TEST_CASE("A transfer that takes longer than an election timeout changes no leader")
{
    testing::QuorumSimulation simulation(1, instances);
    const std::uint32_t leader = proposeLarge(simulation);
    const std::uint64_t index = simulation.core(leader).lastIndex();
    const std::uint64_t terms = simulation.termsStarted();

    SUBCASE("it is committed once, and sent once to each instance")
    {
        simulation.run(5000);
        CHECK(isCommittedEverywhere(simulation, index));
        CHECK(simulation.core(leader).lastIndex() == index);
        for (std::uint32_t id = 1; id <= instances; ++id)
            CHECK(simulation.bytesSentTo(id) <= (id == leader ? 0 : largeCommand + largeCommand / 10));
    }
    SUBCASE("a read of the state before it is answered meanwhile by nobody, and by all afterwards")
    {
        simulation.run(1000);
        const std::uint64_t before = simulation.reads();
        for (std::uint32_t id = 1; id <= instances; ++id)
            simulation.read(id);
        simulation.run(500);
        CHECK(simulation.reads() == before);
        simulation.run(6000);
        CHECK(simulation.reads() == before + instances);
    }
    SUBCASE("an instance that restarts during the transfer gets it again")
    {
        const std::uint32_t restarted = leader % instances + 1;
        simulation.run(1000);
        simulation.crash(restarted);
        simulation.run(500);
        simulation.start(restarted);
        simulation.run(8000);
        CHECK(isCommittedEverywhere(simulation, index));
    }
    CHECK(simulation.termsStarted() == terms);
    CHECK(simulation.leader() == leader);
    CHECK(simulation.violations().empty());
}

TEST_CASE("The simulation detects deliberate defects of transfers")
{
    SUBCASE("a large message that is sent whole changes the leader or is not committed")
    {
        testing::QuorumSimulation simulation(1, instances, testing::Mutation::WholeTransfers);
        const std::uint32_t leader = proposeLarge(simulation);
        const std::uint64_t index = simulation.core(leader).lastIndex();
        const std::uint64_t terms = simulation.termsStarted();
        simulation.run(5000);
        CHECK((simulation.termsStarted() > terms || !isCommittedEverywhere(simulation, index)));
    }
    SUBCASE("a transfer that counts as lost when a heartbeat overtakes it is sent again")
    {
        testing::QuorumSimulation simulation(1, instances, testing::Mutation::TransferTakenForLost);
        const std::uint32_t leader = proposeLarge(simulation);
        simulation.run(5000);
        CHECK(simulation.bytesSentTo(leader % instances + 1) > 2 * largeCommand);
    }
}

TEST_CASE("Random faults on slow links lose no accepted note")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        testing::QuorumSimulation simulation(seed, instances);
        simulation.run(2000);
        simulation.limitLinks(bytesPerMilli);
        for (int round = 0; round < 4; ++round) {
            simulation.proposeBytes(largeCommand / 10);
            simulation.runWithFaults(5000);
        }
        simulation.recoverAndCheck();
        CHECK(simulation.violations().empty());
        CHECK(simulation.accepted() > 0);
    }
}

TEST_CASE("A large message is sent in parts")
{
    const std::string message(OutgoingTransfers::partBytes * 10 + 5, 'm');
    OutgoingTransfers outgoing(100);
    IncomingTransfers incoming;
    REQUIRE(outgoing.add(message));

    SUBCASE("a few parts at a time")
    {
        std::size_t sent = 0;
        while (outgoing.next())
            ++sent;
        CHECK(sent == OutgoingTransfers::maximumPartsInFlight);
        outgoing.confirm();
        CHECK(outgoing.next().has_value());
        CHECK_FALSE(outgoing.next().has_value());
    }
    SUBCASE("and assembled again")
    {
        std::string assembled;
        while (const auto part = outgoing.next()) {
            const auto result = incoming.add(7, *part);
            outgoing.confirm();
            if (result.status == IncomingTransfers::Status::Complete)
                assembled = result.message;
        }
        CHECK(assembled == message);
        CHECK_FALSE(outgoing.isActive());
    }
    SUBCASE("no more messages wait than the protocol needs")
    {
        CHECK(outgoing.add(message));
        CHECK_FALSE(outgoing.add(message));
    }
    SUBCASE("a part of another transfer, a repeated one and one after a gap are refused")
    {
        const auto first = outgoing.next();
        const auto second = outgoing.next();
        const auto third = outgoing.next();
        CHECK(incoming.add(7, *first).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(7, *third).status == IncomingTransfers::Status::Refused);
        CHECK(incoming.add(7, *second).status == IncomingTransfers::Status::Refused);
        CHECK(incoming.add(7, *first).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(7, *second).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(7, *second).status == IncomingTransfers::Status::Refused);
        auto other = *second;
        other.transfer += 1;
        CHECK(incoming.add(7, *first).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(7, other).status == IncomingTransfers::Status::Refused);
        auto longer = *second;
        longer.totalBytes += 1;
        CHECK(incoming.add(7, longer).status == IncomingTransfers::Status::Refused);
    }
    // Guards against a message that is put together from the parts of two, and a live transfer that ends for a stale
    // one.
    SUBCASE("parts of a connection that was given up are read between those of the next one")
    {
        const auto stale = outgoing.next();
        const auto staleNext = outgoing.next();
        outgoing.abort();
        const std::string another(message.size(), 'a');
        REQUIRE(outgoing.add(another));
        std::string assembled;
        CHECK(incoming.add(7, *stale).status == IncomingTransfers::Status::Incomplete);
        bool isFirst = true;
        while (const auto part = outgoing.next()) {
            const auto result = incoming.add(7, *part);
            REQUIRE(result.status != IncomingTransfers::Status::Refused);
            outgoing.confirm();
            if (std::exchange(isFirst, false)) {
                incoming.add(7, *staleNext);
                incoming.add(7, *stale);
            }
            assembled = result.message;
        }
        CHECK(assembled == another);
    }
    SUBCASE("and so are those of an earlier process of the sender")
    {
        OutgoingTransfers earlier(7);
        REQUIRE(earlier.add(std::string(message.size(), 'e')));
        const auto stale = earlier.next();
        const auto staleNext = earlier.next();
        CHECK(incoming.add(7, *stale).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(7, *outgoing.next()).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(7, *staleNext).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(7, *outgoing.next()).status == IncomingTransfers::Status::Incomplete);
    }
    SUBCASE("sizes that a peer claims are bounded")
    {
        MessagePart part { 0, 0, IncomingTransfers::maximumBytes + 1, "x" };
        CHECK(incoming.add(7, part).status == IncomingTransfers::Status::Refused);
        part.totalBytes = 1;
        part.bytes = "more than announced";
        CHECK(incoming.add(7, part).status == IncomingTransfers::Status::Refused);
        for (std::uint32_t sender = 0; sender < IncomingTransfers::maximumSenders; ++sender)
            CHECK(incoming.add(sender, { 0, 0, 2, "x" }).status == IncomingTransfers::Status::Incomplete);
        CHECK(incoming.add(1000, { 0, 0, 2, "x" }).status == IncomingTransfers::Status::Refused);
    }
    SUBCASE("after the loss of the connection the next message starts a new transfer")
    {
        const auto first = outgoing.next();
        incoming.add(7, *first);
        outgoing.abort();
        CHECK_FALSE(outgoing.isActive());
        REQUIRE(outgoing.add(message));
        const auto again = outgoing.next();
        CHECK(again->transfer != first->transfer);
        CHECK(incoming.add(7, *again).status == IncomingTransfers::Status::Incomplete);
    }
}

} // namespace yuccahook::control
