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

// Runs `count` fixed seeds and checks the agents against the simulated cluster's global table of flows.
Totals runSeeds(bench::FlowClusterOptions options, std::uint64_t count, std::uint64_t first = firstSeed)
{
    Totals totals;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        options.seed = seed;
        const auto result = bench::FlowCluster(options).run();
        const auto wrong = result.broken + result.misrouted + result.duplicates + result.openedWhileDraining;
        INFO("seed ", seed, ": broken ", result.broken, ", misrouted ", result.misrouted, ", opened twice ",
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

TEST_CASE("Flows stay at their agents under random schedules of changes")
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

    SUBCASE("when datagrams and messages are lost, delayed and repeated")
    {
        options.loss = 0.1;
        options.repeat = 0.1;
        runSeeds(options, 25);
    }

    SUBCASE("when balancers use old revisions for a long time and have no hints")
    {
        options.staleSeconds = 5;
        options.hints = 0;
        options.repeat = 0.05;
        runSeeds(options, 25);
    }
}

// A former owner may have applied a newer revision than the owner that claims its bucket. Its handover then names a
// holder that the claiming owner does not know; dropping the entry would open the flow a second time.
TEST_CASE("An owner keeps directory entries of an agent that its revision does not include yet")
{
    const auto member = [](std::uint32_t id, flow::MemberState state) {
        flow::Member created;
        created.id = id;
        created.service = 1;
        created.state = state;
        return created;
    };
    const auto membership = [](std::uint64_t revision, std::vector<flow::Member> members) {
        auto created = std::make_shared<flow::Membership>();
        created->revision = revision;
        created->services.emplace_back().id = 1;
        created->members = std::move(members);
        return created;
    };
    const flow::Time now { 0 };
    constexpr std::uint32_t former = 10;
    constexpr std::uint32_t next = 11;
    constexpr std::uint32_t newcomer = 12;
    const auto leaving = member(former, flow::MemberState::Draining);
    const auto ready = member(next, flow::MemberState::Ready);
    const auto beforeNewcomer = membership(2, { leaving, ready });
    const auto withNewcomer = membership(3, { leaving, member(newcomer, flow::MemberState::Ready) });
    flow::AgentFlows formerOwner(100);
    formerOwner.setMembership(membership(1, { member(former, flow::MemberState::Ready) }), former);
    formerOwner.drain();
    formerOwner.setMembership(withNewcomer, former);
    const flow::Packet packet { { { 1, 2, 3 }, 1 }, flow::PacketHint::None, 0, 1, 0, {} };
    REQUIRE(formerOwner.decide(packet, now).member == newcomer);
    formerOwner.takeMessages();

    flow::AgentFlows owner(100);
    owner.setMembership(beforeNewcomer, next);
    for (const auto& claim : owner.takeMessages())
        formerOwner.receive(claim, now);
    for (const auto& handover : formerOwner.takeMessages())
        owner.receive(handover, now);
    REQUIRE(owner.bucketsWaiting() == 0);
    CHECK(owner.decide(packet, now).member == newcomer);

    SUBCASE("until a newer revision does not include the agent either")
    {
        owner.setMembership(membership(4, { ready }), next);
        CHECK(owner.decide(packet, now).verdict == flow::Verdict::Open);
    }

    SUBCASE("and random schedules that have failed before pass")
    {
        constexpr std::uint64_t failedSeed = 2315;
        bench::FlowClusterOptions options;
        options.crashShare = 0.45;
        options.loss = 0.1;
        options.events = 45;
        runSeeds(options, 5, failedSeed);
    }
}

TEST_CASE("The simulation detects the faults that occur without a part of the protocol")
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

    SUBCASE("handovers without entries from holders that were not the owner")
    {
        options.alterMessage = [](flow::PeerMessage& message) {
            const bool former = !message.buckets.empty() && message.buckets.front().wasOwner;
            if (message.kind == flow::PeerKind::Handover && !former)
                message.entries.clear();
            return true;
        };
        CHECK(runSeeds(options, 6).wrong > 0);
    }

    SUBCASE("no probes to the former owner")
    {
        options.alterDecision = [](flow::Decision& decision) {
            if (decision.verdict == flow::Verdict::Probe)
                decision.verdict = flow::Verdict::Refuse;
        };
        CHECK(runSeeds(options, 4).lostPackets > 0);
    }

    SUBCASE("an agent that opens flows which a former owner placed too late")
    {
        options.loss = 0.3;
        options.repeat = 0.8;
        options.lateSeconds = 2;
        options.leaseSeconds = 0.1;
        options.crashShare = 0.6;
        CHECK(runSeeds(options, 4).wrong == 0);
        options.alterDecision = [](flow::Decision& decision) {
            if (decision.routing.kind == flow::RoutingKind::Placed)
                decision.routing.epoch = ~0ULL;
        };
        CHECK(runSeeds(options, 20).wrong > 0);
    }
}
