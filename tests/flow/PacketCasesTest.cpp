#include "PacketModelNodes.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace yuccahook;
using flow::EnvelopeKind;
using flow::FlowReason;
using flow::FlowVerdict;

namespace {

constexpr std::uint64_t start = 50'000;
constexpr flow::PacketEndpoint caller { 0x64400001, 4000 };
constexpr flow::PacketEndpoint route { 0xc6120001, 443 };
constexpr flow::PacketEndpoint balancer { 0x0a000001, 7000 };

/// Records what a balancer or an agent sends.
class Recorder final : public flow::PacketOutput {
public:
    void sendToTrunk(const flow::PacketEndpoint& trunk, flow::PacketBytes datagram) override
    {
        const auto kind = flow::kindOf(datagram);
        if (kind == EnvelopeKind::Load)
            load = *flow::decodeLoad(datagram);
        else if (kind != EnvelopeKind::Subscribe)
            trunks.emplace_back(trunk, std::vector<std::uint8_t>(datagram.begin(), datagram.end()));
    }
    void sendToCaller(std::uint32_t, flow::PacketBytes packet) override { callers.push_back(read(packet)); }
    void sendToBackend(flow::PacketBytes packet) override { backends.push_back(read(packet)); }
    void recordDecision(const flow::FlowDecision& decision) override { decisions.push_back(decision); }

    static flow::PacketHeader read(flow::PacketBytes packet) { return *bench::modelCodec().decode(packet); }

    std::vector<std::pair<flow::PacketEndpoint, std::vector<std::uint8_t>>> trunks;
    std::vector<flow::PacketHeader> callers;
    std::vector<flow::PacketHeader> backends;
    std::vector<flow::FlowDecision> decisions;
    flow::AgentLoad load; // as last reported
};

flow::MembershipPointer membershipOf(std::uint32_t agents)
{
    auto membership = std::make_shared<flow::Membership>();
    membership->revision = 5;
    membership->routeVersion = 1;
    flow::ServiceSpec service;
    service.id = 1;
    service.name = "listings";
    service.protocol = flow::Protocol::Packet;
    membership->services = { service };
    flow::PacketRoute routeEntry;
    routeEntry.address = route.address();
    routeEntry.targets = { { "listings", 1 } };
    routeEntry.latencyGoalMillis = 250;
    membership->routes = { routeEntry };
    for (std::uint32_t id = 1; id <= agents; ++id) {
        flow::Member member;
        member.id = id;
        member.service = 1;
        member.trunk = flow::PacketEndpoint { id, 7001 }.address();
        member.domain = "coban";
        membership->members.push_back(member);
    }
    return membership;
}

flow::BackendReport reportOf(std::uint64_t started, std::uint64_t sequence)
{
    flow::BackendReport report;
    report.id = "b";
    report.startedMillis = started;
    report.sequence = sequence;
    report.service = "listings";
    report.slots = 2;
    return report;
}

std::vector<std::uint8_t> openingPacket(std::uint32_t copy = 0)
{
    flow::PacketHeader header;
    header.source = caller;
    header.destination = route;
    header.opens = true;
    header.retransmissions = copy;
    return bench::ModelCodec::encode(header, 1, 0);
}

std::vector<std::uint8_t> callerPacket(std::uint32_t acknowledged, std::size_t bytes = 0, std::uint32_t sequence = 1)
{
    flow::PacketHeader header;
    header.sequence = sequence;
    header.source = caller;
    header.destination = route;
    header.acknowledges = true;
    header.acknowledged = acknowledged;
    return bench::ModelCodec::encode(header, 1, bytes);
}

std::vector<std::uint8_t> answerPacket(std::uint32_t sequence)
{
    flow::PacketHeader header;
    header.source = route;
    header.destination = caller;
    header.opens = true;
    header.acknowledges = true;
    header.sequence = sequence;
    return bench::ModelCodec::encode(header, 1, 0);
}

std::vector<std::uint8_t> dataPacket(std::uint32_t sequence, std::size_t bytes, bool finishes = false)
{
    flow::PacketHeader header;
    header.source = route;
    header.destination = caller;
    header.acknowledges = true;
    header.finishes = finishes;
    header.sequence = sequence;
    return bench::ModelCodec::encode(header, 1, bytes);
}

std::vector<std::uint8_t> enveloped(const std::vector<std::uint8_t>& packet, EnvelopeKind kind = EnvelopeKind::Direct)
{
    flow::PacketEnvelope envelope;
    envelope.kind = kind;
    envelope.service = 1;
    envelope.goalMillis = 250;
    return encodePacket(envelope, packet);
}

} // namespace

TEST_CASE("An agent accepts a flow for its backend server")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(2), start);
    agent.handleReport(reportOf(100, 1), start);
    agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start);
    REQUIRE(sent.backends.size() == 1);
    CHECK(agent.busy() == 1);

    SUBCASE("it forwards the flow when there is no answer, and a late answer still opens the flow here")
    {
        agent.tick(start + 100);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.trunks[0].first == flow::PacketEndpoint { 2, 7001 });
        CHECK(sent.decisions.back().reason == FlowReason::BackendSilent);
        agent.receiveFromBackend(answerPacket(900), start + 110);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901)), start + 120);
        CHECK(sent.backends.size() == 2);
    }

    SUBCASE("it forwards a returned flow and the following ones until the backend server answers")
    {
        auto bounced = openingPacket();
        bounced[bench::ModelCodec::flagsOffset] |= bench::ModelCodec::bouncedFlag;
        agent.receiveFromBackend(bounced, start + 1);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.decisions.back().reason == FlowReason::BackendRefused);
        CHECK(Recorder::read(flow::decodePacket(sent.trunks[0].second)->packet).opens);
        auto next = openingPacket();
        next[8] ^= 1; // another port
        agent.receiveFromTrunk(balancer, enveloped(next), start + 10);
        CHECK(sent.backends.size() == 1);
        CHECK(sent.decisions.back().reason == FlowReason::BackendSilent);
        agent.receiveFromBackend(answerPacket(900), start + 20);
        agent.receiveFromTrunk(balancer, enveloped(next), start + 30);
        CHECK(sent.backends.size() == 2);
    }

    SUBCASE("a packet that acknowledges another backend server's answer is not delivered")
    {
        agent.receiveFromBackend(answerPacket(900), start + 1);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(5555)), start + 5);
        CHECK(sent.backends.size() == 1);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.trunks[0].first == balancer);
        CHECK(flow::kindOf(sent.trunks[0].second) == EnvelopeKind::Returned);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901)), start + 6);
        CHECK(sent.backends.size() == 2);
    }

    SUBCASE("a reserved slot that the caller does not use becomes free")
    {
        agent.receiveFromBackend(answerPacket(900), start + 1);
        agent.tick(start + 200);
        CHECK(agent.busy() == 0);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 100)), start + 210);
        CHECK(agent.busy() == 1);
    }

    SUBCASE("a request that is retransmitted after its answer occupies no slot, but the next request does")
    {
        agent.receiveFromBackend(answerPacket(900), start + 1);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 100)), start + 5);
        CHECK(agent.busy() == 1);
        agent.receiveFromBackend(dataPacket(901, 50), start + 300);
        CHECK(agent.busy() == 0);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 100)), start + 301);
        CHECK(sent.backends.size() == 3); // the backend server acknowledges it again
        CHECK(agent.busy() == 0);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(951, 100, 101)), start + 400);
        CHECK(agent.busy() == 1);
        agent.receiveFromBackend(dataPacket(951, 50, true), start + 500);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(951, 100, 201)), start + 501);
        CHECK(agent.busy() == 0);
    }

    SUBCASE("the flow ends with the incarnation that holds it")
    {
        agent.receiveFromBackend(answerPacket(900), start + 1);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901)), start + 2);
        agent.handleReport(reportOf(200, 1), start + 500);
        sent.callers.clear();
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 10)), start + 510);
        REQUIRE(sent.callers.size() == 1);
        CHECK(sent.callers[0].resets);
        CHECK(sent.callers[0].sequence == 901);
        CHECK(sent.backends.size() == 2); // nothing reached the new incarnation
    }

    SUBCASE("a half-open flow of the previous incarnation is not reset")
    {
        agent.receiveFromBackend(answerPacket(900), start + 1);
        sent.callers.clear();
        agent.handleReport(reportOf(200, 1), start + 500);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(5555)), start + 510);
        CHECK(sent.callers.empty());
    }
}

TEST_CASE("An agent resets a refused flow only if no other copy of the packet can have opened it")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(1), start);
    auto draining = reportOf(100, 1);
    draining.draining = true;
    agent.handleReport(draining, start);

    SUBCASE("a flow is reset at once upon its first packet")
    {
        agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start);
        REQUIRE(sent.callers.size() == 1);
        CHECK(sent.callers[0].resets);
        CHECK(sent.decisions.back().verdict == FlowVerdict::Refused);
        CHECK(sent.decisions.back().reason == FlowReason::BackendDraining);
    }

    SUBCASE("a packet that suppresses the reset is declined")
    {
        flow::PacketEnvelope envelope;
        envelope.service = 1;
        envelope.suppressReset = true;
        agent.receiveFromTrunk(balancer, encodePacket(envelope, openingPacket(1)), start);
        CHECK(sent.callers.empty());
        CHECK(sent.decisions.back().verdict == FlowVerdict::Declined);
    }
    CHECK(sent.backends.empty());
}

TEST_CASE("A request in many packets uses a slot once its backend server has all of it")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    auto membership = std::make_shared<flow::Membership>(*membershipOf(2));
    const auto open = [&] {
        agent.setMembership(membership, start);
        agent.handleReport(reportOf(100, 1), start);
        agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start);
        agent.receiveFromBackend(answerPacket(900), start + 1);
        CHECK(agent.busy() == 1); // reserved
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 1200, 1)), start + 10);
    };

    SUBCASE("with the overload policy least-cost")
    {
        membership->overload = flow::OverloadPolicy::LeastCost;
        open();
        CHECK(agent.busy() == 0);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 1200, 1201)), start + 60);
        CHECK(agent.busy() == 0);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 300, 2401)), start + 100);
        CHECK(agent.busy() == 1);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 1200, 1201)), start + 110); // retransmitted
        CHECK(agent.busy() == 1);
        agent.receiveFromBackend(dataPacket(901, 50), start + 130);
        CHECK(agent.busy() == 0);
        CHECK(sent.backends.size() == 5);
    }

    SUBCASE("with the policy goal, from its first packet on, as before")
    {
        open();
        CHECK(agent.busy() == 1);
    }
}

TEST_CASE("An agent whose slots are taken queues new flows")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(2), start);
    agent.handleReport(reportOf(100, 1), start);
    const auto openingFrom = [](std::uint8_t port) {
        auto packet = openingPacket();
        packet[8] = port;
        return packet;
    };
    for (std::uint8_t port = 1; port <= 4; ++port) // two slots, and two flows that are accepted before a slot is free
        agent.receiveFromTrunk(balancer, enveloped(openingFrom(port)), start);
    REQUIRE(sent.backends.size() == 4);
    agent.receiveFromTrunk(balancer, enveloped(openingFrom(5)), start);
    CHECK(sent.backends.size() == 4);
    CHECK(sent.decisions.back().verdict == FlowVerdict::Waits);
    REQUIRE(sent.trunks.size() == 1);
    CHECK(sent.trunks[0].first == balancer); // so that retransmissions come here, too
    CHECK(flow::kindOf(sent.trunks[0].second) == EnvelopeKind::Holder);
    sent.trunks.clear();

    SUBCASE("until a slot is free; retransmissions change nothing")
    {
        agent.receiveFromTrunk(balancer, enveloped(openingFrom(5)), start + 10);
        CHECK(sent.backends.size() == 4);
        for (std::uint8_t port = 1; port <= 4; ++port) {
            auto answer = answerPacket(900);
            answer[10] = port;
            agent.receiveFromBackend(answer, start + 11);
        }
        agent.tick(start + 155); // their callers sent no request
        REQUIRE(sent.backends.size() == 5);
        CHECK(sent.backends.back().opens);
        CHECK(sent.decisions.back().verdict == FlowVerdict::Accepted);
    }

    SUBCASE("until another agent has a free slot")
    {
        agent.receiveFromTrunk({ 2, 7001 }, flow::encodeLoad({ true, 2, 0 }), start + 10);
        agent.tick(start + 20);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.trunks[0].first == flow::PacketEndpoint { 2, 7001 });
        CHECK(flow::decodePacket(sent.trunks[0].second)->envelope.waitedMillis == 20);
    }

    SUBCASE("and forwards them when its backend server drains")
    {
        auto leaving = reportOf(100, 2);
        leaving.draining = true;
        agent.handleReport(leaving, start + 30);
        agent.tick(start + 40);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.decisions.back().reason == FlowReason::BackendDraining);
    }

    SUBCASE("while they can be answered in time; a refusal comes before the caller retransmits")
    {
        std::size_t waiting = 1;
        for (std::uint8_t port = 6; port < 250 && sent.callers.empty(); ++port) {
            agent.receiveFromTrunk(balancer, enveloped(openingFrom(port)), start + 1);
            waiting += sent.callers.empty() ? 1 : 0;
        }
        REQUIRE(sent.callers.size() == 1);
        CHECK(sent.callers[0].resets);
        CHECK(sent.decisions.back().reason == FlowReason::GoalOutOfReach);
        CHECK(waiting > 10);
        agent.tick(start + 180);
        CHECK(sent.callers.size() == 1 + waiting);
        agent.tick(start + 1500);
        CHECK(sent.callers.size() == 1 + waiting);
    }
}

TEST_CASE("An agent offers no flow to a backend server that may be gone or belong to another service")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(1), start);
    agent.handleReport(reportOf(100, 1), start);

    SUBCASE("whose reports have stopped, before its address may be reused")
    {
        agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start + 1950);
        CHECK(sent.decisions.back().reason == FlowReason::BackendOverdue);
    }

    SUBCASE("that belongs to another service now")
    {
        auto other = reportOf(200, 1);
        other.service = "inspections";
        agent.handleReport(other, start);
        agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start + 1);
        CHECK(sent.decisions.back().reason == FlowReason::OtherService);
    }
    CHECK(sent.backends.empty());
}

// Guards against resets of a living backend server's flows because a report of another writer counts as its next start.
TEST_CASE("A report that names no backend server of this agent changes nothing")
{
    const net::Address address = *net::Address::parse("10.0.0.9:8080");
    flow::PacketAgentLimits limits;
    limits.backend = address;
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, limits, bench::modelCodec(), sent, start);
    auto membership = std::make_shared<flow::Membership>(*membershipOf(1));
    membership->hasAllServices = true;
    const auto report = [&](std::uint64_t started, std::uint64_t sequence) {
        auto own = reportOf(started, sequence);
        own.address = address;
        return own;
    };
    auto odd = report(200, 1);
    odd.id = "other";
    std::uint64_t ticked = start;
    const auto advance = [&](std::uint64_t now) {
        while (ticked + flow::PacketAgent::tickMillis <= now)
            agent.tick(ticked += flow::PacketAgent::tickMillis); // without ticks the agent takes itself for suspended
    };
    const auto checkFlowIsServed = [&](std::uint64_t now) {
        advance(now);
        sent.backends.clear();
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 10)), now);
        CHECK(sent.backends.size() == 1);
        CHECK(std::none_of(sent.callers.begin(), sent.callers.end(), [](const auto& packet) { return packet.resets; }));
    };
    const auto checkNewFlowIsAccepted = [&](std::uint64_t now) {
        advance(now);
        sent.backends.clear();
        auto next = openingPacket();
        next[8] ^= 1; // another port
        agent.receiveFromTrunk(balancer, enveloped(next), now);
        CHECK(sent.backends.size() == 1);
    };

    SUBCASE("while a backend server is served")
    {
        agent.setMembership(membership, start);
        REQUIRE(agent.handleReport(report(100, 1), start) == flow::ReportStatus::NewIncarnation);
        agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start);
        agent.receiveFromBackend(answerPacket(900), start + 1);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901)), start + 2);

        SUBCASE("of a service that is not configured")
        {
            odd.service = "no-such-service";
            CHECK(agent.handleReport(odd, start + 10) == flow::ReportStatus::UnknownService);
            checkFlowIsServed(start + 20);
            CHECK(agent.handleReport(report(100, 2), start + 1200) == flow::ReportStatus::Renewed);
            checkNewFlowIsAccepted(start + 1210);
        }

        SUBCASE("of a service that is not configured, under the id and start of the one that is served")
        {
            odd = report(100, 2);
            odd.service = "no-such-service";
            CHECK(agent.handleReport(odd, start + 10) == flow::ReportStatus::UnknownService);
            checkFlowIsServed(start + 20);
            checkNewFlowIsAccepted(start + 30);
        }

        SUBCASE("at another address")
        {
            odd.address = *net::Address::parse("10.0.0.9:8081");
            CHECK(agent.handleReport(odd, start + 10) == flow::ReportStatus::OtherAddress);
            checkFlowIsServed(start + 20);
            checkNewFlowIsAccepted(start + 30);
        }

        SUBCASE("but the served one is renewed after its service was removed, and none takes its place")
        {
            auto removed = std::make_shared<flow::Membership>(*membership);
            removed->revision = 6;
            removed->services.front().name = "inspections";
            agent.setMembership(removed, start + 10);
            CHECK(agent.handleReport(report(100, 2), start + 1200) == flow::ReportStatus::Renewed);
            CHECK(agent.handleReport(report(200, 1), start + 1300) == flow::ReportStatus::UnknownService);
            checkFlowIsServed(start + 1310);
        }

        SUBCASE("but one of a configured service takes its place, and the flows end")
        {
            sent.callers.clear();
            CHECK(agent.handleReport(odd, start + 10) == flow::ReportStatus::NewIncarnation);
            REQUIRE(sent.callers.size() == 1);
            CHECK(sent.callers.front().resets);
        }

        SUBCASE("until its service is configured")
        {
            odd.service = "inspections";
            CHECK(agent.handleReport(odd, start + 10) == flow::ReportStatus::UnknownService);
            auto extended = std::make_shared<flow::Membership>(*membership);
            extended->revision = 6;
            extended->services.push_back(extended->services.front());
            extended->services.back().id = 2;
            extended->services.back().name = "inspections";
            agent.setMembership(extended, start + 100);
            odd.sequence = 2;
            CHECK(agent.handleReport(odd, start + 1210) == flow::ReportStatus::NewIncarnation);
        }
    }

    SUBCASE("while the agent does not know the services yet")
    {
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901)), start + 1); // a flow of before its restart
        agent.receiveFromBackend(dataPacket(901, 10), start + 2);

        SUBCASE("a second report does not take the place of the first")
        {
            REQUIRE(agent.handleReport(report(100, 40), start + 10) == flow::ReportStatus::NewIncarnation);
            CHECK(agent.handleReport(odd, start + 20) == flow::ReportStatus::UnknownService);
            checkFlowIsServed(start + 30);
            agent.setMembership(membership, start + 50);
            checkFlowIsServed(start + 60);
            checkNewFlowIsAccepted(start + 70);
        }

        SUBCASE("the first report is dropped once its service turns out not to be configured")
        {
            odd.service = "no-such-service";
            REQUIRE(agent.handleReport(odd, start + 10) == flow::ReportStatus::NewIncarnation);
            CHECK(agent.handleReport(report(100, 40), start + 20) == flow::ReportStatus::UnknownService);
            agent.setMembership(membership, start + 50);
            checkFlowIsServed(start + 60);
            CHECK(agent.handleReport(report(100, 41), start + 1220) == flow::ReportStatus::NewIncarnation);
            checkFlowIsServed(start + 1230);
            checkNewFlowIsAccepted(start + 1240);
        }
    }

    SUBCASE("with control instances of an earlier release every service counts as configured")
    {
        membership->hasAllServices = false;
        agent.setMembership(membership, start);
        REQUIRE(agent.handleReport(report(100, 1), start) == flow::ReportStatus::NewIncarnation);
        odd.service = "inspections"; // not followed
        CHECK(agent.handleReport(odd, start + 10) == flow::ReportStatus::NewIncarnation);
    }
}

// Guards against resets of flows that a restarted backend server has accepted before its first report arrived.
TEST_CASE("A report of a restarted backend server ends the flows of before its restart only")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(1), start);
    auto report = reportOf(100, 1);
    report.slots = 7;
    const auto packetOf = [](std::uint16_t port, bool opens, std::uint32_t acknowledged, std::size_t bytes) {
        flow::PacketHeader header;
        header.source = { caller.host, port };
        header.destination = route;
        header.opens = opens;
        header.acknowledges = !opens;
        header.acknowledged = acknowledged;
        return bench::ModelCodec::encode(header, 1, bytes);
    };
    const auto open = [&](std::uint16_t port, std::uint64_t now) {
        agent.receiveFromTrunk(balancer, enveloped(packetOf(port, true, 0, 0)), now);
        flow::PacketHeader answer;
        answer.source = route;
        answer.destination = { caller.host, port };
        answer.opens = answer.acknowledges = true;
        answer.sequence = 900;
        agent.receiveFromBackend(bench::ModelCodec::encode(answer, 1, 0), now + 1);
        agent.receiveFromTrunk(balancer, enveloped(packetOf(port, false, 901, 10)), now + 2);
    };
    const auto bounce = [&](std::uint16_t port, std::uint64_t now) {
        auto returned = packetOf(port, false, 901, 10);
        returned[bench::ModelCodec::flagsOffset] |= bench::ModelCodec::bouncedFlag;
        agent.receiveFromBackend(returned, now);
    };
    const auto resetPorts = [&sent] {
        std::vector<std::uint16_t> ports;
        for (const auto& packet : sent.callers) {
            if (packet.resets)
                ports.push_back(packet.destination.port);
        }
        return ports;
    };
    const auto restart = [&] {
        agent.handleReport(report, start);
        open(1, start + 10);
        open(2, start + 20);
        bounce(1, start + 100);
        REQUIRE(resetPorts() == std::vector<std::uint16_t> { 1 });
        report = reportOf(200, 1);
        report.slots = 7;
    };

    SUBCASE("a flow that opened after a packet was returned goes on")
    {
        restart();
        open(3, start + 110);
        agent.handleReport(report, start + 200);
        CHECK(resetPorts() == std::vector<std::uint16_t> { 1, 2 });
        sent.backends.clear();
        agent.receiveFromTrunk(balancer, enveloped(packetOf(3, false, 901, 10)), start + 210);
        CHECK(sent.backends.size() == 1);
        agent.handleReport(reportOf(300, 1), start + 400);
        CHECK(resetPorts() == std::vector<std::uint16_t> { 1, 2, 3 });
    }

    SUBCASE("a packet that was returned before the first report does not count")
    {
        agent.receiveFromTrunk(balancer, enveloped(packetOf(1, false, 901, 10)), start); // a flow of before the agent
        flow::PacketHeader data;
        data.source = route;
        data.destination = { caller.host, 1 };
        data.acknowledges = true;
        agent.receiveFromBackend(bench::ModelCodec::encode(data, 1, 10), start + 1);
        bounce(1, start + 2);
        agent.handleReport(report, start + 3);
        open(3, start + 10);
        agent.handleReport(reportOf(200, 1), start + 200);
        CHECK(resetPorts() == std::vector<std::uint16_t> { 1, 3 });
    }

    SUBCASE("a report of the present incarnation shows that it has forgotten one flow only")
    {
        restart();
        report = reportOf(100, 2);
        report.slots = 7;
        agent.handleReport(report, start + 105);
        open(3, start + 110);
        agent.handleReport(reportOf(200, 1), start + 200);
        const auto ports = resetPorts();
        CHECK(std::count(ports.begin(), ports.end(), 3) == 1);
    }
}

TEST_CASE("An agent ends the flows of a backend server that has departed")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(2), start);
    agent.handleReport(reportOf(100, 1), start);
    agent.receiveFromTrunk(balancer, flow::encodeSubscribe(7), start);
    agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start);
    agent.receiveFromBackend(answerPacket(900), start + 1);
    agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 10)), start + 2);
    agent.handleDeparture("b", 100, start + 100);
    const auto replyTo = [&](std::uint64_t nowMillis) {
        sent.trunks.clear();
        agent.receiveFromTrunk(balancer, flow::encodeQuery({ { { caller, route }, 901 } }), nowMillis);
        return flow::decodeReply(sent.trunks.at(0).second)->flows.at(0).second;
    };

    SUBCASE("not before it has been silent for a while")
    {
        agent.tick(start + 200);
        CHECK(sent.callers.size() == 1); // the answer
        CHECK(replyTo(start + 200) == flow::FlowHolding::Holds);
        agent.receiveFromBackend(dataPacket(901, 50), start + 290);
        agent.tick(start + 400);
        CHECK(sent.callers.size() == 2);
        CHECK_FALSE(agent.hasEnded());
    }

    SUBCASE("then at once, and again for a caller that the reset has not reached")
    {
        agent.tick(start + 300);
        REQUIRE(sent.callers.size() == 2);
        CHECK(sent.callers[1].resets);
        CHECK(sent.callers[1].sequence == 901);
        CHECK(agent.hasEnded());
        CHECK(agent.busy() == 0);
        CHECK(replyTo(start + 301) == flow::FlowHolding::None);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 10)), start + 310);
        CHECK(sent.callers.size() == 3);
        CHECK(sent.callers[2].resets);
    }

    SUBCASE("unless it reports again")
    {
        agent.handleReport(reportOf(100, 2), start + 150);
        agent.tick(start + 1000);
        CHECK(sent.callers.size() == 1);
        CHECK_FALSE(agent.hasEnded());
    }

    SUBCASE("another incarnation at the same agent takes flows again")
    {
        agent.tick(start + 300);
        agent.handleReport(reportOf(200, 1), start + 500);
        CHECK_FALSE(agent.hasEnded());
        auto next = openingPacket();
        next[8] ^= 1; // another port
        agent.receiveFromTrunk(balancer, enveloped(next), start + 510);
        CHECK(sent.backends.back().opens);
    }
}

TEST_CASE("An agent answers queries by what its backend server can hold")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(2), start);
    const auto replyTo = [&](std::uint32_t acknowledged, std::uint64_t nowMillis) {
        sent.trunks.clear();
        agent.receiveFromTrunk(balancer, flow::encodeQuery({ { { caller, route }, acknowledged } }), nowMillis);
        return flow::decodeReply(sent.trunks.at(0).second)->flows.at(0).second;
    };

    SUBCASE("before the first report it may hold any flow")
    {
        CHECK(replyTo(901, start + 1) == flow::FlowHolding::Possible);
        agent.handleReport(reportOf(100, 1), start + 2);
        CHECK(replyTo(901, start + 3) == flow::FlowHolding::None);
    }

    SUBCASE("one that reported to an earlier process of the agent may, until a packet was returned")
    {
        agent.handleReport(reportOf(100, 2), start + 2);
        CHECK(replyTo(901, start + 3) == flow::FlowHolding::Possible);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 10), EnvelopeKind::Find), start + 4);
        CHECK(agent.busy() == 1); // the probe has a request
        CHECK(replyTo(901, start + 5) == flow::FlowHolding::Possible);
        auto bounced = callerPacket(901, 10);
        bounced[bench::ModelCodec::flagsOffset] |= bench::ModelCodec::bouncedFlag;
        agent.receiveFromBackend(bounced, start + 6);
        CHECK(agent.busy() == 0);
        CHECK(replyTo(901, start + 7) == flow::FlowHolding::None);
    }

    SUBCASE("a half-open flow is its own only if the caller has chosen its answer")
    {
        agent.handleReport(reportOf(100, 1), start);
        agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start);
        CHECK(replyTo(901, start + 1) == flow::FlowHolding::None);
        agent.receiveFromBackend(answerPacket(900), start + 2);
        CHECK(replyTo(5555, start + 3) == flow::FlowHolding::None);
        CHECK(replyTo(901, start + 4) == flow::FlowHolding::Holds);
    }

    SUBCASE("a query that cannot be decoded gets no answer")
    {
        auto query = flow::encodeQuery({ { { caller, route }, 901 } });
        query.pop_back();
        agent.receiveFromTrunk(balancer, query, start);
        CHECK(sent.trunks.empty());
        CHECK(sent.decisions.back().reason == FlowReason::Malformed);
    }
}

TEST_CASE("A restarted agent learns from its backend server which flows it holds")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(2), start);
    agent.handleReport(reportOf(100, 40), start);
    agent.receiveFromTrunk(balancer, enveloped(callerPacket(901), EnvelopeKind::Find), start + 10);
    REQUIRE(sent.backends.size() == 1);

    SUBCASE("a backend server that answers holds the flow")
    {
        flow::PacketHeader answer;
        answer.source = route;
        answer.destination = caller;
        answer.acknowledges = true;
        agent.receiveFromBackend(bench::ModelCodec::encode(answer, 1, 10), start + 11);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(*flow::decodeHolder(sent.trunks[0].second) == flow::PacketFlow { caller, route });
    }

    SUBCASE("a backend server that returned the packet is not probed again")
    {
        auto bounced = callerPacket(901);
        bounced[bench::ModelCodec::flagsOffset] |= bench::ModelCodec::bouncedFlag;
        agent.receiveFromBackend(bounced, start + 11);
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(901), EnvelopeKind::Find), start + 20);
        CHECK(sent.backends.size() == 1);
        CHECK(sent.callers.empty());
    }
}

TEST_CASE("Flows found before the first report stay with the backend server that reports")
{
    Recorder sent;
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    agent.setMembership(membershipOf(2), start);
    flow::PacketHeader answer;
    answer.source = route;
    answer.destination = caller;
    answer.acknowledges = true;
    agent.receiveFromBackend(bench::ModelCodec::encode(answer, 1, 10), start + 5);
    agent.handleReport(reportOf(100, 40), start + 10);
    sent.callers.clear();
    agent.receiveFromTrunk(balancer, enveloped(callerPacket(901, 10)), start + 20);
    CHECK(sent.callers.empty()); // no reset
    CHECK(sent.backends.size() == 1);
}

TEST_CASE("A balancer refuses a flow whose long request its link could not carry in time")
{
    constexpr std::uint64_t linkBytesPerSecond = 275'000;
    Recorder sent;
    flow::PacketBalancer router("coban", 1, bench::modelCodec(), sent, { linkBytesPerSecond });
    auto membership = std::make_shared<flow::Membership>(*membershipOf(2));
    membership->overload = flow::OverloadPolicy::LeastCost;
    router.setMembership(membership, start);
    router.receiveFromAgent({ 1, 7001 }, flow::encodeLoad({ true, 2, 1 }), start + 1);
    router.receiveFromAgent({ 2, 7001 }, flow::encodeLoad({ true, 2, 0 }), start + 1);
    router.tick(start + 100, 0);
    const auto withPort = [](std::vector<std::uint8_t> packet, std::uint8_t port) {
        packet[8] = port;
        return packet;
    };
    std::uint64_t linkMillis = 100;
    const auto advanceTo = [&](std::uint64_t millis) {
        for (; linkMillis < millis; linkMillis += flow::LinkScheduler::intervalMillis)
            router.tick(start + linkMillis, 0);
    };
    const auto upload = [&](std::uint8_t port, std::uint64_t millis) {
        advanceTo(millis);
        router.receiveFromCaller(withPort(openingPacket(), port), start + millis);
        for (std::uint32_t number = 0; number < 16; ++number)
            router.receiveFromCaller(withPort(callerPacket(901, 1200, 1 + number * 1200), port), start + millis);
    };
    for (std::uint8_t port = 1; port <= 4; ++port)
        upload(port, 100 + 200 * port); // the link carries each within 75 ms
    CHECK(sent.callers.empty());
    advanceTo(2000);
    CHECK(router.waitingForLink() == 0);
    upload(5, 2000);
    CHECK(sent.callers.empty());
    upload(6, 2010); // two are more than half of the goal of 250 ms
    REQUIRE(sent.callers.size() == 1);
    CHECK(sent.callers[0].resets);
    CHECK(std::any_of(sent.decisions.begin(), sent.decisions.end(), [](const flow::FlowDecision& decision) {
        return decision.verdict == flow::FlowVerdict::Refused && decision.reason == FlowReason::LinkFull;
    }));

    SUBCASE("a retransmitted opening packet is not refused, as a copy may have opened the flow")
    {
        router.receiveFromCaller(withPort(openingPacket(1), 8), start + 2020);
        CHECK(sent.callers.size() == 1);
    }

    SUBCASE("and accepts the next one when the link has room again")
    {
        advanceTo(3000);
        router.receiveFromCaller(withPort(openingPacket(), 9), start + 3000);
        CHECK(sent.callers.size() == 1);
    }
}

TEST_CASE("A balancer forwards packets by its routes and the agents' reports")
{
    Recorder sent;
    flow::PacketBalancer router("coban", 1, bench::modelCodec(), sent);
    router.receiveFromCaller(openingPacket(), start);
    CHECK(sent.trunks.empty()); // buffered: no routes are known yet
    router.setMembership(membershipOf(2), start + 100);
    router.receiveFromAgent({ 1, 7001 }, flow::encodeLoad({ true, 2, 1 }), start + 101);
    router.receiveFromAgent({ 2, 7001 }, flow::encodeLoad({ true, 2, 0 }), start + 101);
    REQUIRE(sent.trunks.size() == 1);
    sent.trunks.clear();

    SUBCASE("later packets follow the first, until another agent reports that it holds the flow")
    {
        router.receiveFromCaller(callerPacket(901), start + 102);
        const auto first = sent.trunks.back().first;
        const flow::PacketEndpoint other { first.host == 1 ? 2U : 1U, 7001 };
        router.receiveFromAgent(other, flow::encodeHolder({ caller, route }), start + 103);
        router.receiveFromCaller(callerPacket(901), start + 104);
        CHECK(sent.trunks.back().first == other);
    }

    SUBCASE("a retransmission goes to the agent where the first packet waits, though it sent no load since")
    {
        auto opening = openingPacket();
        opening[8] ^= 1; // another port
        auto copy = openingPacket(1);
        copy[8] ^= 1;
        router.receiveFromCaller(opening, start + 300);
        const auto first = sent.trunks.back().first;
        const flow::PacketFlow waiting = Recorder::read(opening).flowFromCaller();
        router.receiveFromAgent(first, flow::encodeHolder(waiting), start + 302);
        router.receiveFromCaller(copy, start + 500);
        CHECK(sent.trunks.size() == 2);
        CHECK(sent.trunks.back().first == first);
    }

    SUBCASE("all agents are asked for an unknown flow, and its packet goes to the one that holds it")
    {
        auto packet = callerPacket(901);
        packet[8] ^= 1; // another port
        router.receiveFromCaller(packet, start + 102);
        REQUIRE(sent.trunks.size() == 2);
        CHECK(flow::kindOf(sent.trunks[0].second) == EnvelopeKind::Query);
        CHECK(flow::kindOf(sent.trunks[1].second) == EnvelopeKind::Query);
        CHECK(sent.trunks[0].first != sent.trunks[1].first);
        const auto queried = flow::decodeQuery(sent.trunks[0].second);
        REQUIRE(queried->size() == 1);
        CHECK(queried->front().acknowledged == 901);
        const auto unknown = queried->front().flow;
        router.receiveFromAgent(
            { 2, 7001 }, flow::encodeReply({ 5, { { unknown, flow::FlowHolding::Holds } } }), start + 103);
        REQUIRE(sent.trunks.size() == 3);
        CHECK(sent.trunks.back().first == flow::PacketEndpoint { 2, 7001 });
        const auto forwarded = flow::decodePacket(sent.trunks.back().second);
        CHECK(forwarded->envelope.kind == EnvelopeKind::Direct);
        CHECK(std::equal(forwarded->packet.begin(), forwarded->packet.end(), packet.begin(), packet.end()));
        router.receiveFromCaller(packet, start + 104);
        CHECK(sent.trunks.size() == 4); // no further query
    }

    SUBCASE("a flow that no agent holds is reset, once, and only in contact to control")
    {
        auto packet = callerPacket(901);
        packet[8] ^= 1; // another port
        const auto unknown = Recorder::read(packet).flowFromCaller();
        const auto denial = flow::encodeReply({ 5, { { unknown, flow::FlowHolding::None } } });
        router.tick(start + 101, 5000);
        router.receiveFromCaller(packet, start + 102);
        router.receiveFromAgent({ 1, 7001 }, denial, start + 103);
        router.receiveFromAgent({ 1, 7001 }, denial, start + 104); // repeated
        router.receiveFromAgent({ 9, 7001 }, denial, start + 104); // from a stranger
        CHECK(sent.decisions.back().reason == FlowReason::Forged);
        router.receiveFromAgent({ 2, 7001 }, denial, start + 105);
        CHECK(sent.callers.empty());
        router.tick(start + 200, 100);
        REQUIRE(sent.callers.size() == 1);
        CHECK(sent.callers[0].resets);
        CHECK(sent.callers[0].sequence == 901);
        CHECK(sent.decisions.back().reason == FlowReason::NoHolder);
        CHECK(router.searches() == 0);
    }

    SUBCASE("a packet that an agent returns is searched for, unless another agent has replied meanwhile")
    {
        router.receiveFromCaller(callerPacket(901, 10), start + 102);
        const auto first = sent.trunks.back().first;
        const flow::PacketEndpoint other { first.host == 1 ? 2U : 1U, 7001 };
        flow::PacketEnvelope envelope;
        envelope.kind = EnvelopeKind::Returned;
        const auto returned = encodePacket(envelope, callerPacket(901, 10));
        SUBCASE("none has: the search finds the one that holds it")
        {
            router.receiveFromAgent(first, returned, start + 103);
            CHECK(router.searches() == 1);
            router.receiveFromAgent(other, flow::encodeHolder({ caller, route }), start + 104);
            CHECK(router.searches() == 0);
            CHECK(sent.trunks.back().first == other);
            CHECK(Recorder::read(flow::decodePacket(sent.trunks.back().second)->packet).dataBytes > 0);
        }
        SUBCASE("one has: it gets the packet")
        {
            router.receiveFromAgent(other, flow::encodeHolder({ caller, route }), start + 103);
            router.receiveFromAgent(first, returned, start + 104);
            CHECK(router.searches() == 0);
            CHECK(sent.trunks.back().first == other);
        }
    }

    SUBCASE("a flow without a route is refused, but not upon a retransmission or without contact to control")
    {
        auto gone = std::make_shared<flow::Membership>(*membershipOf(2));
        gone->routes.clear();
        gone->revision = 6;
        router.setMembership(gone, start + 200);
        router.receiveFromCaller(openingPacket(1), start + 201);
        CHECK(sent.callers.empty());
        router.tick(start + 210, 5000);
        router.receiveFromCaller(openingPacket(), start + 211);
        CHECK(sent.callers.empty());
        CHECK(sent.decisions.back().reason == FlowReason::RoutesStale);
        router.tick(start + 220, 100);
        router.receiveFromCaller(openingPacket(), start + 221);
        REQUIRE(sent.callers.size() == 1);
        CHECK(sent.callers[0].resets);
    }

    SUBCASE("packets that no caller sends are dropped")
    {
        flow::PacketHeader forged;
        forged.source = caller;
        forged.destination = route;
        forged.opens = true;
        forged.acknowledges = true;
        router.receiveFromCaller(bench::ModelCodec::encode(forged, 1, 0), start + 102);
        CHECK(sent.trunks.empty());
        CHECK(sent.decisions.back().reason == FlowReason::Forged);
        router.receiveFromCaller(std::vector<std::uint8_t>(7), start + 103);
        CHECK(sent.decisions.back().reason == FlowReason::Malformed);
    }
}

TEST_CASE("An opening packet of a route with homes stays in its regions")
{
    const flow::HomeRegions regions({ { "coban", "north" }, { "zacapa", "south" }, { "flores", "north" } });
    auto membership = std::make_shared<flow::Membership>(*membershipOf(4));
    membership->members[2].domain = "zacapa";
    membership->members[3].domain = "unlisted";
    membership->routes[0].homes = { "south" };
    Recorder sent;

    SUBCASE("a balancer sends it to a home, and refuses it when there is none")
    {
        flow::PacketBalancer first("coban", 1, bench::modelCodec(), sent, { 0, regions });
        first.setMembership(membership, start);
        first.receiveFromCaller(openingPacket(), start + 100);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.trunks[0].first == flow::PacketEndpoint { 3, 7001 });
        // Its homes change before the retransmission, which the agent of the first packet must not get then.
        first.receiveFromAgent({ 3, 7001 }, flow::encodeLoad({ true, 2, 0 }), start + 110);
        auto moved = std::make_shared<flow::Membership>(*membership);
        moved->routes[0].homes = { "north" };
        first.setMembership(moved, start + 120);
        first.receiveFromCaller(openingPacket(1), start + 150);
        REQUIRE(sent.trunks.size() == 2);
        CHECK(sent.trunks[1].first != flow::PacketEndpoint { 3, 7001 });
        membership->members.erase(membership->members.begin() + 2);
        first.setMembership(std::make_shared<flow::Membership>(*membership), start + 200);
        first.receiveFromCaller(openingPacket(), start + 200);
        CHECK(sent.trunks.size() == 2);
        CHECK(sent.decisions.back().reason == FlowReason::NoHome);
        REQUIRE(sent.callers.size() == 1);
        CHECK(sent.callers[0].resets);
    }

    flow::PacketEnvelope envelope;
    envelope.service = 1;
    envelope.goalMillis = 250;
    envelope.homes = regions.tagOf({ "south" });

    SUBCASE("an agent elsewhere forwards it to a home, or refuses it")
    {
        flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start, regions);
        agent.setMembership(membership, start);
        agent.handleReport(reportOf(100, 1), start);
        agent.receiveFromTrunk(balancer, encodePacket(envelope, openingPacket()), start);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.trunks[0].first == flow::PacketEndpoint { 3, 7001 });
        const auto forwarded = flow::decodePacket(sent.trunks[0].second);
        CHECK(forwarded->envelope.homes == envelope.homes); // so the next agent forwards it inside only
        envelope.tried = { 3 };
        agent.receiveFromTrunk(balancer, encodePacket(envelope, openingPacket()), start);
        CHECK(sent.decisions.back().verdict == FlowVerdict::Refused);
        CHECK(sent.decisions.back().reason == FlowReason::NoHome);
        CHECK(sent.backends.empty());
    }

    SUBCASE("an agent that does not know the regions accepts it, or returns it to the balancer")
    {
        flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
        agent.setMembership(membership, start);
        agent.handleReport(reportOf(100, 1), start);
        agent.receiveFromTrunk(balancer, encodePacket(envelope, openingPacket()), start);
        CHECK(sent.backends.size() == 1);
        agent.drain(start + 10);
        flow::PacketHeader header;
        header.source = { caller.host, 4001 };
        header.destination = route;
        header.opens = true;
        agent.receiveFromTrunk(balancer, encodePacket(envelope, bench::ModelCodec::encode(header, 2, 0)), start + 10);
        REQUIRE(sent.trunks.size() == 1);
        CHECK(sent.trunks[0].first == balancer);
        CHECK(flow::kindOf(sent.trunks[0].second) == EnvelopeKind::Declined);
    }
}

TEST_CASE("An agent whose backend server is cold holds new flows back, but no request on an open flow")
{
    Recorder sent;
    auto membership = std::make_shared<flow::Membership>(*membershipOf(1));
    flow::PacketAgent agent("coban", { 1, 7001 }, 1, {}, bench::modelCodec(), sent, start);
    const auto open = [&](std::uint16_t port, std::uint64_t nowMillis, std::uint16_t timeoutMillis = 0) {
        flow::PacketHeader header;
        header.source = { caller.host, port };
        header.destination = route;
        header.opens = true;
        flow::PacketEnvelope envelope;
        envelope.service = 1;
        envelope.goalMillis = 250;
        envelope.timeoutMillis = timeoutMillis;
        agent.receiveFromTrunk(balancer, encodePacket(envelope, bench::ModelCodec::encode(header, 2, 0)), nowMillis);
        return std::pair(sent.decisions.back().verdict, sent.decisions.back().reason);
    };
    const auto request = [&agent](std::uint32_t number, std::uint64_t nowMillis) {
        agent.receiveFromTrunk(balancer, enveloped(callerPacket(8, 100, number)), nowMillis);
        agent.receiveFromBackend(dataPacket(7 + number, 100), nowMillis + 1);
    };

    SUBCASE("requests on open flows count towards the limit, and the load report shows no free slot")
    {
        membership->services[0].cold = { 10'000, 3 };
        agent.setMembership(membership, start);
        agent.handleReport(reportOf(100, 1), start);
        agent.receiveFromTrunk(balancer, flow::encodeSubscribe(flow::domainHash("coban")), start);
        CHECK(sent.load.free() == 2);
        agent.receiveFromTrunk(balancer, enveloped(openingPacket()), start);
        agent.receiveFromBackend(answerPacket(7), start + 1);
        for (std::uint32_t number = 1; number <= 3; ++number)
            request(number, start + std::uint64_t { 2 } * number);
        CHECK(sent.backends.size() == 4);
        agent.tick(start + 60);
        CHECK(agent.busy() == 0);
        CHECK(sent.load.free() <= 0);
        CHECK(open(4001, start + 70) == std::pair(FlowVerdict::Waits, FlowReason::ColdLimit));
        for (std::uint64_t now = start + 80; now <= start + 1000; now += flow::PacketAgent::tickMillis)
            agent.tick(now);
        CHECK(sent.backends.size() == 4);
        agent.tick(start + 1020);
        CHECK(sent.backends.size() == 5);
        request(4, start + 1030);
        request(5, start + 1032);
        CHECK(sent.backends.size() == 7);
        // It would wait for a second, and a caller with this timeout for 0.4 of it at most.
        CHECK(open(4002, start + 1040, 1000) == std::pair(FlowVerdict::Refused, FlowReason::ColdLimit));
    }

    SUBCASE("a late report does not make it cold again")
    {
        membership->services[0].cold = { 100, 1 };
        agent.setMembership(membership, start);
        auto report = reportOf(100, 2);
        report.coldRemainingMillis = 500;
        agent.handleReport(report, start);
        report.sequence = 1;
        report.coldRemainingMillis = 60'000;
        agent.handleReport(report, start + 100);
        CHECK(open(4001, start + 400).second == FlowReason::ColdLimit); // in the second after the agent's start
        agent.tick(start + 500);
        CHECK(open(4002, start + 500).first == FlowVerdict::Accepted);
        CHECK(sent.backends.size() == 2);
    }
}
