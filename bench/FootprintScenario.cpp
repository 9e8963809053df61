#include "CountingStream.h"
#include "LinearFit.h"
#include "Scenario.h"
#include "control/Announcement.h"
#include "control/ClusterState.h"
#include "control/Command.h"
#include "control/MembershipCodec.h"
#include "flow/AgentFlows.h"
#include "net/StreamRelay.h"
#include "net/TrunkDatagram.h"
#include "request/ClaimTable.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <capnp/serialize.h>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <memory>
#include <unordered_map>

namespace yuccahook::bench {

namespace {

constexpr std::uint32_t serviceCount = 420;
constexpr std::uint32_t memberCount = 4500;
constexpr std::size_t answerBytes = 200;

double heapBytesInUse()
{
    const auto statistics = mallinfo2();
    return static_cast<double>(statistics.uordblks + statistics.hblkhd);
}

// Processor time of this process, so that other load on the machine does not count.
double processorNanos()
{
    timespec now {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e9 + static_cast<double>(now.tv_nsec);
}

/// What one more item costs a role: a line fitted to measurements at several sizes.
struct Slope {
    std::string role;
    std::string item;
    std::string unit;
    std::vector<Measurement> measurements;

    nlohmann::json toJson() const
    {
        const auto fit = fitLine(measurements);
        auto points = nlohmann::json::array();
        for (const auto& measurement : measurements)
            points.push_back({ measurement.size, measurement.value });
        return { { "role", role }, { "item", item }, { "unit", unit }, { "slope", fit.slope },
            { "intercept", fit.intercept }, { "residual", fit.residual }, { "points", points } };
    }
};

Slope measure(std::string role, std::string item, std::string unit, std::vector<double> sizes,
    const std::function<double(std::size_t)>& value)
{
    Slope slope { std::move(role), std::move(item), std::move(unit), {} };
    value(static_cast<std::size_t>(sizes.front())); // warms up the allocator and the caches
    for (const double size : sizes)
        slope.measurements.push_back({ size, value(static_cast<std::size_t>(size)) });
    return slope;
}

// Heap bytes that an object uses. The object is freed before the function returns.
template <typename Make> double bytesOf(Make make)
{
    malloc_trim(0);
    const double before = heapBytesInUse();
    const auto object = make();
    return heapBytesInUse() - before;
}

flow::ServiceSpec serviceOf(std::uint32_t id)
{
    flow::ServiceSpec service;
    service.id = id;
    service.name = "service-" + std::to_string(id);
    service.address = { 0, 0xffff'0a00'0000u + id, 80 };
    return service;
}

flow::Member memberOf(std::uint32_t id, std::uint32_t services)
{
    flow::Member member;
    member.id = services + id;
    member.agent = "agent-of-" + std::to_string(id);
    member.incarnation = 1'796'360'750'036'298 + id;
    member.service = 1 + id % services;
    member.trunk = { 0, 0xffff'0a01'0000u + id, 7000 };
    member.domain = "failure-domain-" + std::to_string(id % 7);
    member.slots = 7;
    member.connections = 2000;
    return member;
}

flow::Membership membershipOf(std::uint32_t services, std::uint32_t members)
{
    flow::Membership membership;
    membership.cluster = 1;
    membership.revision = 1;
    for (std::uint32_t id = 1; id <= services; ++id)
        membership.services.push_back(serviceOf(id));
    for (std::uint32_t id = 1; id <= members; ++id)
        membership.members.push_back(memberOf(id, services));
    return membership;
}

flow::Packet packetOf(std::size_t index, std::uint32_t service)
{
    flow::Packet packet;
    packet.key = { { 0, 0xffff'0000'0000 + index, static_cast<std::uint16_t>(1 + index % 60'000) }, service };
    packet.revision = 1;
    return packet;
}

std::unique_ptr<flow::AgentFlows> agentWithFlows(std::size_t flows)
{
    auto agent = std::make_unique<flow::AgentFlows>(flows + 1);
    auto membership = std::make_shared<flow::Membership>(membershipOf(1, 1));
    agent->setMembership(membership, membership->members.front().id);
    for (std::size_t index = 0; index < flows; ++index)
        agent->decide(packetOf(index, 1), flow::Time(index));
    return agent;
}

double nanosPerPacket(std::size_t flows)
{
    constexpr std::size_t packets = 400'000;
    const auto agent = agentWithFlows(flows);
    const double before = processorNanos();
    for (std::size_t index = 0; index < packets; ++index)
        agent->decide(packetOf(index * 7919 % flows, 1), flow::Time(index));
    return (processorNanos() - before) / packets;
}

// A draining agent places every new flow on its peer and stores a redirect for it.
std::unique_ptr<flow::AgentFlows> agentWithRedirects(std::size_t redirects)
{
    auto agent = std::make_unique<flow::AgentFlows>(1);
    auto alone = std::make_shared<flow::Membership>(membershipOf(1, 1));
    const auto self = alone->members.front().id;
    agent->setMembership(alone, self);
    auto both = std::make_shared<flow::Membership>(membershipOf(1, 2));
    both->revision = 2;
    agent->setMembership(both, self);
    agent->drain();
    for (std::size_t index = 0; agent->directorySize() < redirects && index < redirects * 8; ++index)
        agent->decide(packetOf(index, 1), flow::Time(index));
    return agent;
}

std::unique_ptr<request::ClaimTable> tableWithClaims(std::size_t claims)
{
    auto table = std::make_unique<request::ClaimTable>(request::ClaimLimits { claims + 1 });
    table->setView(request::ClaimView(1, 1, { { 1, "coban" } }), flow::Time(0));
    table->tick(flow::Time(0));
    auto answer = std::make_shared<request::RecordedAnswer>();
    for (std::size_t index = 0; index < claims; ++index) {
        const std::string key = "order-2026-12-04-" + std::to_string(index);
        const auto attempt = table->acquire(key, request::digestOf("POST", "/orders", key), flow::Time(index));
        table->takeDecisions();
        answer = std::make_shared<request::RecordedAnswer>();
        answer->status = 200;
        answer->body = std::string(answerBytes, 'x');
        table->finish(attempt, request::ClaimState::Answered, answer, flow::Time(index));
        table->takeMessages();
    }
    return table;
}

/// Claim tables of three agents in two failure domains. Messages between them are delivered without delay.
class ClaimCluster {
public:
    ClaimCluster()
    {
        const std::vector<request::ClaimMember> members { { 1, "coban" }, { 2, "antigua" }, { 3, "coban" } };
        for (std::uint32_t self = 1; self <= 3; ++self) {
            m_tables.emplace_back(request::ClaimLimits {});
            m_tables.back().setView(request::ClaimView(1, self, members), flow::Time(0));
        }
        deliver();
        m_messages = 0;
    }

    void claimAndFinish(std::size_t index)
    {
        auto& table = m_tables[index % m_tables.size()];
        const std::string key = "order-" + std::to_string(index);
        const auto attempt = table.acquire(key, request::digestOf("POST", "/orders", key), flow::Time(0));
        deliver();
        table.finish(
            attempt, request::ClaimState::Answered, std::make_shared<request::RecordedAnswer>(), flow::Time(0));
        deliver();
    }

    std::size_t messages() const { return m_messages; }

private:
    void deliver()
    {
        for (bool delivered = true; delivered;) {
            delivered = false;
            for (auto& table : m_tables) {
                for (const auto& outgoing : table.takeMessages()) {
                    ++m_messages;
                    delivered = true;
                    m_tables[outgoing.to - 1].receive(outgoing.message, flow::Time(0));
                }
            }
        }
    }

    std::vector<request::ClaimTable> m_tables;
    std::size_t m_messages = 0;
};

double claimMessages(std::size_t claims)
{
    ClaimCluster cluster;
    for (std::size_t index = 0; index < claims; ++index)
        cluster.claimAndFinish(index);
    return static_cast<double>(cluster.messages());
}

double encodedBytes(const flow::MembershipDelta& delta)
{
    capnp::MallocMessageBuilder message;
    control::writeDelta(message.initRoot<schema::View>(), delta);
    return static_cast<double>(capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
}

double bytesOfJoins(std::size_t members)
{
    flow::MembershipDelta delta;
    for (std::size_t id = 1; id <= members; ++id)
        delta.members.push_back(memberOf(id, serviceCount));
    return encodedBytes(delta);
}

double bytesOfServices(std::size_t services)
{
    flow::MembershipDelta delta;
    for (std::size_t id = 1; id <= services; ++id)
        delta.services.push_back(serviceOf(id));
    return encodedBytes(delta);
}

std::string noteDocument(std::size_t number, bool first)
{
    const std::string name = "service-of-notes";
    nlohmann::json service { { "name", name } };
    if (first)
        service.update({ { "protocol", "http" }, { "address", "10.0.0.1:80" } });
    service["idleSeconds"] = 100 + number % 100;
    return nlohmann::json {
        { "number", number }, { "author", "ana" }, { first ? "added" : "changed", { service } }
    }.dump();
}

std::unique_ptr<control::ClusterState> stateWithNotes(std::size_t notes)
{
    auto state = std::make_unique<control::ClusterState>(1);
    for (std::size_t number = 1; number <= notes; ++number)
        state->apply(control::SubmitNote { noteDocument(number, number == 1) });
    return state;
}

double nanosOfNotes(std::size_t notes)
{
    const double before = processorNanos();
    stateWithNotes(notes);
    return processorNanos() - before;
}

double journalBytesOfNotes(std::size_t notes)
{
    double bytes = 0;
    for (std::size_t number = 1; number <= notes; ++number)
        bytes += static_cast<double>(
            control::encodeCommand(control::SubmitNote { noteDocument(number, number == 1) }).size());
    return bytes;
}

double nanosOfMap(std::uint32_t services, std::size_t members)
{
    const auto membership = std::make_shared<flow::Membership>(membershipOf(services, members));
    const double before = processorNanos();
    const flow::BucketMap map(membership);
    return processorNanos() - before;
}

// Time in which a balancer applies the deltas of joins and derives each map from the one before.
double nanosOfJoins(std::size_t joins)
{
    auto membership = std::make_shared<const flow::Membership>(membershipOf(serviceCount, memberCount));
    auto map = std::make_unique<flow::BucketMap>(membership);
    const double before = processorNanos();
    for (std::size_t index = 1; index <= joins; ++index) {
        flow::MembershipDelta delta;
        delta.cluster = 1;
        delta.revision = membership->revision + 1;
        delta.members.push_back(memberOf(memberCount + index, serviceCount));
        membership = flow::applyDelta(*membership, delta);
        map = std::make_unique<flow::BucketMap>(membership, map.get());
    }
    return processorNanos() - before;
}

double datagramBytes(std::size_t payload)
{
    const std::vector<std::uint8_t> bytes(payload);
    net::TrunkDatagram datagram;
    datagram.key = packetOf(1, 1).key;
    datagram.payload = bytes;
    net::TrunkEncoder encoder;
    return static_cast<double>(encoder.encode(datagram).size());
}

double nanosOfDatagrams(std::size_t count)
{
    const std::vector<std::uint8_t> bytes(100);
    net::TrunkDatagram datagram;
    datagram.key = packetOf(1, 1).key;
    datagram.payload = bytes;
    net::TrunkEncoder encoder;
    const double before = processorNanos();
    for (std::size_t index = 0; index < count; ++index)
        net::decodeTrunkDatagram(encoder.encode(datagram));
    return processorNanos() - before;
}

double bytesOfStreams(std::size_t streams)
{
    auto io = kj::setupAsyncIo();
    std::vector<kj::Own<net::StreamRelay>> relays;
    std::vector<kj::Own<kj::AsyncIoStream>> ends;
    relays.reserve(streams);
    ends.reserve(streams);
    const double before = heapBytesInUse();
    for (std::size_t index = 0; index < streams; ++index) {
        auto pipe = kj::newTwoWayPipe();
        relays.push_back(kj::refcounted<net::StreamRelay>(kj::mv(pipe.ends[0])));
        ends.push_back(kj::mv(pipe.ends[1]));
    }
    io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(io.waitScope);
    return heapBytesInUse() - before;
}

/// A control instance that answers each request for changes with the same delta, or with Unchanged if the delta has no
/// members.
class FixedControl final : public schema::Control::Server {
public:
    explicit FixedControl(flow::MembershipDelta delta)
        : m_delta(std::move(delta))
    {
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        context.getResults().setStatus(static_cast<std::uint8_t>(control::AnnounceStatus::Joined));
        return kj::READY_NOW;
    }

    kj::Promise<void> changes(ChangesContext context) override
    {
        auto results = context.getResults();
        if (m_delta.members.empty())
            results.setStatus(static_cast<std::uint8_t>(control::ChangesStatus::Unchanged));
        else
            control::writeDelta(results.initView(), m_delta);
        return kj::READY_NOW;
    }

private:
    flow::MembershipDelta m_delta;
};

/// Bytes in both directions and processor time of calls to a control instance over a pipe.
struct CallCosts {
    double bytes = 0;
    double nanos = 0;
};

enum class Call { Announce, Changes };

CallCosts measureCalls(Call call, std::size_t calls, std::size_t members)
{
    auto io = kj::setupAsyncIo();
    auto pipe = kj::newTwoWayPipe();
    std::uint64_t bytes = 0;
    auto serverSide = kj::heap<CountingStream>(kj::mv(pipe.ends[0]), bytes);
    CountingStream clientSide(kj::mv(pipe.ends[1]), bytes);
    flow::MembershipDelta delta;
    for (std::size_t id = 1; id <= members; ++id)
        delta.members.push_back(memberOf(id, serviceCount));
    capnp::TwoPartyServer server(kj::heap<FixedControl>(std::move(delta)));
    server.accept(kj::mv(serverSide));
    capnp::TwoPartyClient client(clientSide);
    auto control = client.bootstrap().castAs<schema::Control>();
    control.announceRequest().send().ignoreResult().wait(io.waitScope);
    bytes = 0;
    const double before = processorNanos();
    for (std::size_t index = 0; index < calls; ++index) {
        if (call == Call::Announce) {
            auto request = control.announceRequest();
            auto announcement = request.initAnnouncement();
            announcement.setAgent("agent-of-" + std::to_string(index));
            announcement.setService("service-1");
            announcement.setDomain("failure-domain-1");
            request.send().ignoreResult().wait(io.waitScope);
        } else {
            auto request = control.changesRequest();
            request.setSubscriber("balancer-" + std::to_string(index));
            request.setAfter(1);
            request.send().ignoreResult().wait(io.waitScope);
        }
    }
    return { static_cast<double>(bytes), processorNanos() - before };
}

/// Heap bytes of the naive baseline, a balancer with a table of every flow.
double bytesOfFlowTable(std::size_t flows)
{
    return bytesOf([flows] {
        std::unordered_map<flow::FlowKey, std::uint32_t> table;
        for (std::size_t index = 0; index < flows; ++index)
            table[packetOf(index, 1).key] = 1;
        return table;
    });
}

nlohmann::json run(const ScenarioOptions&)
{
    const std::vector<Slope> slopes {
        measure("agent", "flow", "bytes", { 2'500, 10'000, 40'000 },
            [](std::size_t n) { return bytesOf([n] { return agentWithFlows(n); }); }),
        measure("agent", "ns per packet by flows", "ns", { 1'000, 10'000, 100'000 }, nanosPerPacket),
        measure("agent", "redirect", "bytes", { 2'500, 10'000, 40'000 },
            [](std::size_t n) { return bytesOf([n] { return agentWithRedirects(n); }); }),
        measure("agent", "claim", "bytes", { 1'000, 3'000, 9'000 },
            [](std::size_t n) { return bytesOf([n] { return tableWithClaims(n); }); }),
        measure("agent", "claim", "messages", { 100, 300, 900 }, claimMessages),
        measure("agent", "stream", "bytes", { 100, 400, 1'600 }, bytesOfStreams),
        measure("every", "target", "bytes", { 500, 1'500, 4'500 },
            [](std::size_t n) { return bytesOf([n] { return membershipOf(serviceCount, n); }); }),
        measure("every", "service", "bytes", { 100, 200, 400 },
            [](std::size_t n) { return bytesOf([n] { return membershipOf(n, memberCount); }); }),
        measure("balancer", "map by target", "bytes", { 500, 1'500, 4'500 },
            [](std::size_t n) {
                const auto membership = std::make_shared<flow::Membership>(membershipOf(serviceCount, n));
                return bytesOf([&] { return std::make_unique<flow::BucketMap>(membership); });
            }),
        measure("balancer", "map by service", "bytes", { 100, 200, 400 },
            [](std::size_t n) {
                const auto membership = std::make_shared<flow::Membership>(membershipOf(n, memberCount));
                return bytesOf([&] { return std::make_unique<flow::BucketMap>(membership); });
            }),
        measure("balancer", "whole map by target", "ns", { 500, 1'500, 4'500 },
            [](std::size_t n) { return nanosOfMap(serviceCount, n); }),
        measure("balancer", "revision applied", "ns", { 20, 60, 180 }, nanosOfJoins),
        measure("balancer", "datagram by payload byte", "bytes", { 0, 256, 1'024 }, datagramBytes),
        measure("balancer", "datagram coded", "ns", { 50'000, 100'000, 200'000 }, nanosOfDatagrams),
        measure("control", "member in a delta", "bytes", { 1, 8, 64 }, bytesOfJoins),
        measure("control", "service in a delta", "bytes", { 1, 8, 64 }, bytesOfServices),
        measure("control", "member by a call", "bytes", { 1, 8, 64 },
            [](std::size_t n) { return measureCalls(Call::Changes, 1, n).bytes; }),
        measure("control", "note", "bytes", { 370, 1'110, 3'330 },
            [](std::size_t n) { return bytesOf([n] { return stateWithNotes(n); }); }),
        measure("control", "note", "ns", { 370, 1'110, 3'330 }, nanosOfNotes),
        measure("control", "note in the journal", "bytes", { 370, 1'110, 3'330 }, journalBytesOfNotes),
        measure("control", "heartbeat", "bytes", { 100, 200, 400 },
            [](std::size_t n) { return measureCalls(Call::Announce, n, 0).bytes; }),
        measure("control", "heartbeat", "ns", { 1'000, 2'000, 4'000 },
            [](std::size_t n) { return measureCalls(Call::Announce, n, 0).nanos; }),
        measure("control", "poll without news", "bytes", { 100, 200, 400 },
            [](std::size_t n) { return measureCalls(Call::Changes, n, 0).bytes; }),
        measure("control", "poll without news", "ns", { 1'000, 2'000, 4'000 },
            [](std::size_t n) { return measureCalls(Call::Changes, n, 0).nanos; }),
        measure("control", "member by a call", "ns", { 8, 64, 512 },
            [](std::size_t n) { return measureCalls(Call::Changes, 1, n).nanos; }),
    };
    const auto naive = measure("balancer", "flow", "bytes", { 10'000, 40'000, 160'000 }, bytesOfFlowTable).toJson();
    nlohmann::json ours;
    for (const auto& slope : slopes)
        ours[slope.role + ", " + slope.item + ", " + slope.unit] = slope.toJson();
    return { { "ours", ours }, { "naive", { { "balancer, flow, bytes", naive } } } };
}

const ScenarioRegistration registration { { "footprint",
    "What one more flow, redirect, claim, stream, target, service, note, heartbeat or revision costs each role; "
    "naive is a table of every flow at every balancer",
    "(no options)", run } };

} // namespace

} // namespace yuccahook::bench
