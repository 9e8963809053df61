// A finding that is no case (REPORT-3.md): a balancer divides by zero in FlowSearch::poll.
//
// 1. Callers send packets of many flows that the balancer does not know, as after its restart. Their searches use up
//    the rate of queries. The last search ends, by the reply of its flow's holder, before its pass has reached all
//    agents, and FlowSearch::m_asked keeps the flow.
// 2. All agents leave the membership. Ten seconds later the membership changes again, and FlowSearch::setAgents forgets
//    them: m_order is empty.
// 3. A caller sends one more packet of a flow that the balancer does not know.
//
// review/search-without-agents.sh builds and runs it. It ends with "division by zero"; with the argument `calm`, which
// leaves step 1 out, it prints "no fault".

#include "flow/PacketBalancer.h"
#include "flow/PacketEnvelope.h"
#include "platform/PacketFormat.h"

#include <cstdint>
#include <cstdio>
#include <cstring>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

using namespace yuccahook;
using namespace yuccahook::flow;

namespace {

constexpr std::uint32_t routeHost = 0x7fc80001; // 127.200.0.1
constexpr std::uint16_t routePort = 8080;
constexpr int agentCount = 3;
constexpr int floodedFlows = 40; // more than the queries that may be sent at once, three for each flow
constexpr std::uint64_t recentContactMillis = 0;

PacketEndpoint agentTrunk(int index) { return { 0x7f000002U + static_cast<std::uint32_t>(index), 7000 }; }

/// A packet with ten bytes of data that a caller sends on an open flow.
std::vector<std::uint8_t> callerPacket(std::uint16_t callerPort)
{
    const auto lowByte = [](unsigned value) { return static_cast<std::uint8_t>(value & 0xff); };
    constexpr unsigned dataBytes = 10;
    std::vector<std::uint8_t> packet(32 + dataBytes);
    packet[4] = lowByte(routePort >> 8);
    packet[5] = lowByte(routePort);
    for (int byte = 0; byte < 4; ++byte)
        packet[6 + byte] = lowByte(routeHost >> (24 - 8 * byte));
    packet[10] = lowByte(callerPort >> 8);
    packet[11] = lowByte(callerPort);
    packet[12] = 127;
    packet[17] = dataBytes;
    packet[18] = 2; // ACK
    return packet;
}

/// Keeps the queries that the balancer sends.
class Queries : public PacketOutput {
public:
    std::deque<std::pair<PacketEndpoint, std::vector<QueriedFlow>>> sent;

    void sendToTrunk(const PacketEndpoint& trunk, PacketBytes datagram) override
    {
        if (kindOf(datagram) != EnvelopeKind::Query)
            return;
        if (const auto flows = decodeQuery(datagram))
            sent.emplace_back(trunk, *flows);
    }
    void sendToCaller(std::uint32_t, PacketBytes) override { }
    void sendToBackend(PacketBytes) override { }
    void recordDecision(const FlowDecision&) override { }
};

MembershipPointer membership(std::uint64_t revision, int agents)
{
    auto result = std::make_shared<Membership>();
    result->cluster = 1;
    result->revision = revision;
    result->routeVersion = 1;
    ServiceSpec service;
    service.id = 1;
    service.name = "svc";
    service.protocol = Protocol::Packet;
    result->services = { service };
    PacketRoute route;
    route.address = PacketEndpoint { routeHost, routePort }.address();
    route.name = "route";
    route.targets = { { "svc", 1 } };
    result->routes = { route };
    for (int index = 0; index < agents; ++index) {
        Member member;
        member.id = 10 + static_cast<std::uint32_t>(index);
        member.agent = "agent-" + std::to_string(index);
        member.service = service.id;
        member.trunk = agentTrunk(index).address();
        member.domain = "zone";
        result->members.push_back(member);
    }
    return result;
}

/// Every agent answers each query at once that it holds the flows.
void answerQueries(PacketBalancer& balancer, Queries& queries, std::uint64_t revision, std::uint64_t nowMillis)
{
    while (!queries.sent.empty()) {
        const auto [trunk, flows] = queries.sent.front();
        queries.sent.pop_front();
        FlowReply reply;
        reply.revision = revision;
        for (const auto& queried : flows)
            reply.flows.emplace_back(queried.flow, FlowHolding::Holds);
        balancer.receiveFromAgent(trunk, encodeReply(reply), nowMillis);
    }
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const bool isCalm = argumentCount > 1 && std::strcmp(arguments[1], "calm") == 0;
    const platform::PacketFormat codec;
    Queries queries;
    PacketBalancer balancer("zone", 1, codec, queries);
    std::uint64_t nowMillis = 1'000'000;
    balancer.setMembership(membership(1, agentCount), nowMillis);
    nowMillis += 1000;
    balancer.tick(nowMillis, recentContactMillis);

    std::uint16_t callerPort = 20'000;
    for (int flow = 0; flow < (isCalm ? 0 : floodedFlows); ++flow) {
        balancer.receiveFromCaller(callerPacket(callerPort++), nowMillis);
        answerQueries(balancer, queries, 1, nowMillis);
    }
    for (int step = 0; step < 200 && balancer.searches() > 0; ++step) {
        balancer.tick(++nowMillis, recentContactMillis);
        answerQueries(balancer, queries, 1, nowMillis);
    }
    std::printf("searches left after the first packets: %zu\n", balancer.searches());

    balancer.setMembership(membership(2, 0), nowMillis);
    for (int second = 0; second < 12; ++second)
        balancer.tick(nowMillis += 1000, recentContactMillis);
    balancer.setMembership(membership(3, 0), nowMillis);
    balancer.receiveFromCaller(callerPacket(callerPort), nowMillis);
    std::puts("no fault");
    return 0;
}
