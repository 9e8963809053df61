#include "Scenario.h"
#include "flow/AgentFlows.h"
#include "flow/HintCache.h"
#include "net/TrunkDatagram.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <limits>
#include <netinet/in.h>
#include <random>
#include <vector>

namespace yuccahook::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t service = 1;
constexpr std::uint32_t firstMember = 100;
constexpr std::size_t batchSize = 64;
constexpr std::size_t hintSlots = 1 << 17; // as in the balancer
constexpr std::size_t decisionsPerRun = 2'000'000;

flow::MembershipPointer membershipOf(std::uint32_t targets, const net::Address& trunk)
{
    auto membership = std::make_shared<flow::Membership>();
    membership->revision = 1;
    flow::ServiceSpec spec;
    spec.id = service;
    spec.protocol = flow::Protocol::Datagram;
    membership->services.push_back(spec);
    for (std::uint32_t index = 0; index < targets; ++index) {
        flow::Member member;
        member.id = firstMember + index;
        member.service = service;
        member.trunk = trunk;
        membership->members.push_back(member);
    }
    return membership;
}

std::vector<flow::FlowKey> randomKeys(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<flow::FlowKey> keys(count);
    for (auto& key : keys)
        key = { { 0, random(), static_cast<std::uint16_t>(random() | 1) }, service };
    return keys;
}

// Keys in the order of arrival. They are drawn before the measurement, so that their generation is not measured.
std::vector<flow::FlowKey> arrivals(const std::vector<flow::FlowKey>& flows, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<flow::FlowKey> order(decisionsPerRun);
    for (auto& key : order)
        key = flows[random() % flows.size()];
    return order;
}

template <typename Decide> double nanosecondsPerDecision(const std::vector<flow::FlowKey>& order, Decide decide)
{
    constexpr int runs = 3;
    double best = std::numeric_limits<double>::max();
    std::uint64_t sum = 0;
    for (int run = 0; run < runs; ++run) {
        const auto begin = Clock::now();
        for (std::size_t index = 0; index < order.size(); index += batchSize)
            sum += decide(&order[index], std::min(batchSize, order.size() - index));
        const double nanoseconds = std::chrono::duration<double, std::nano>(Clock::now() - begin).count();
        best = std::min(best, nanoseconds / order.size());
    }
    return sum > 0 ? best : 0;
}

double balancerDecision(std::size_t flows, std::uint64_t seed)
{
    const flow::BucketMap map(membershipOf(7, {}));
    flow::HintCache hints(hintSlots);
    const auto keys = randomKeys(flows, seed);
    for (const auto& key : keys)
        hints.learn(key, map.ownerOf(key)->id);
    return nanosecondsPerDecision(arrivals(keys, seed), [&](const flow::FlowKey* batch, std::size_t count) {
        std::uint64_t sum = 0;
        for (std::size_t index = 0; index < count; ++index)
            hints.prefetch(batch[index]);
        for (std::size_t index = 0; index < count; ++index) {
            const flow::Member* target = map.membership().member(hints.holderOf(batch[index]));
            sum += (target ? target : map.ownerOf(batch[index]))->id;
        }
        return sum;
    });
}

double agentDecision(std::size_t flows, std::uint64_t seed)
{
    flow::AgentFlows agent(flows);
    agent.setMembership(membershipOf(1, {}), firstMember);
    const auto keys = randomKeys(flows, seed);
    flow::Packet packet;
    for (const auto& key : keys) {
        packet.key = key;
        agent.decide(packet, flow::Time { 0 });
    }
    return nanosecondsPerDecision(arrivals(keys, seed), [&](const flow::FlowKey* batch, std::size_t count) {
        std::uint64_t sum = 0;
        for (std::size_t index = 0; index < count; ++index)
            agent.prefetch(batch[index]);
        for (std::size_t index = 0; index < count; ++index) {
            packet.key = batch[index];
            sum += agent.decide(packet, flow::Time { 1 }).member;
        }
        return sum;
    });
}

double hashDecision(std::size_t flows, std::uint64_t seed)
{
    const auto membership = membershipOf(7, {});
    return nanosecondsPerDecision(
        arrivals(randomKeys(flows, seed), seed), [&](const flow::FlowKey* batch, std::size_t count) {
            std::uint64_t sum = 0;
            for (std::size_t index = 0; index < count; ++index)
                sum += membership->members[hashOf(batch[index]) % membership->members.size()].id;
            return sum;
        });
}

/// Sockets on loopback: a caller, the two sockets of the relay, and the destination of the relay.
struct Sockets {
    static std::unique_ptr<net::DatagramSocket> bindAny()
    {
        return net::DatagramSocket::bound(*net::Address::parseHost("127.0.0.1", 0));
    }

    std::unique_ptr<net::DatagramSocket> caller = bindAny();
    std::unique_ptr<net::DatagramSocket> listener = bindAny();
    std::unique_ptr<net::DatagramSocket> outgoing = bindAny();
    std::unique_ptr<net::DatagramSocket> sink = bindAny();

    /// Empties the sink and returns the number of datagrams that had arrived there.
    std::size_t drainSink() const
    {
        std::size_t count = 0;
        while (const std::size_t received = sink->receive([](const net::Address&, net::Bytes) {}))
            count += received;
        return count;
    }
};

/// A minimal relay, which sends the received buffers unchanged.
class BareRelay {
public:
    explicit BareRelay(const net::Address& to)
        : m_length(to.toSocket(m_to))
    {
        for (std::size_t index = 0; index < batchSize; ++index)
            m_vectors[index].iov_base = m_bytes.data() + index * net::DatagramSocket::maximumDatagramBytes;
    }

    std::size_t relay(int from, int to)
    {
        for (std::size_t index = 0; index < batchSize; ++index) {
            m_vectors[index].iov_len = net::DatagramSocket::maximumDatagramBytes;
            m_headers[index].msg_hdr
                = { &m_from[index], sizeof(sockaddr_storage), &m_vectors[index], 1, nullptr, 0, 0 };
        }
        const int count = recvmmsg(from, m_headers.data(), batchSize, MSG_DONTWAIT, nullptr);
        for (int index = 0; index < count; ++index) {
            m_vectors[index].iov_len = m_headers[index].msg_len;
            m_headers[index].msg_hdr.msg_name = &m_to;
            m_headers[index].msg_hdr.msg_namelen = m_length;
        }
        if (count > 0)
            sendmmsg(to, m_headers.data(), count, MSG_DONTWAIT);
        return count > 0 ? count : 0;
    }

private:
    sockaddr_storage m_to {};
    socklen_t m_length;
    std::array<mmsghdr, batchSize> m_headers {};
    std::array<iovec, batchSize> m_vectors {};
    std::array<sockaddr_storage, batchSize> m_from {};
    std::vector<std::uint8_t> m_bytes
        = std::vector<std::uint8_t>(batchSize * net::DatagramSocket::maximumDatagramBytes);
};

/// Forwards datagrams as a balancer does.
class BalancerRelay {
public:
    explicit BalancerRelay(const net::Address& to)
        : m_map(membershipOf(7, to))
    {
    }

    std::size_t relay(net::DatagramSocket& from, net::DatagramSocket& to)
    {
        const std::size_t count = from.receive([&](const net::Address& caller, net::Bytes payload) {
            const flow::FlowKey key { caller, service };
            const flow::Member* target = m_map.membership().member(m_hints.holderOf(key));
            if (!target)
                target = m_map.ownerOf(key);
            net::TrunkDatagram datagram;
            datagram.member = target->id;
            datagram.revision = m_map.revision();
            datagram.key = key;
            datagram.payload = payload;
            to.queue(target->trunk, m_encoder.encode(datagram));
        });
        to.flush();
        return count;
    }

private:
    flow::BucketMap m_map;
    flow::HintCache m_hints { hintSlots };
    net::TrunkEncoder m_encoder;
};

struct Throughput {
    std::size_t relayed = 0;
    std::size_t arrived = 0;
    std::chrono::duration<double> busy { 0 };

    nlohmann::json perSecond() const { return static_cast<double>(relayed) / busy.count(); }
};

// One round: fills the listener, measures the relay until the listener is empty, and empties the sink.
void runRound(
    const Sockets& sockets, net::Bytes payload, Throughput& throughput, const std::function<std::size_t()>& relay)
{
    for (std::size_t index = 0; index < batchSize; ++index)
        sockets.caller->queue(sockets.listener->localAddress(), payload);
    sockets.caller->flush();
    const auto begin = Clock::now();
    while (const std::size_t count = relay())
        throughput.relayed += count;
    throughput.busy += Clock::now() - begin;
    throughput.arrived += sockets.drainSink();
}

nlohmann::json run(const ScenarioOptions& options)
{
    const std::vector<std::uint8_t> payload(options.number("bytes", 512), 7);
    const std::uint64_t rounds = options.number("rounds", 4000);
    const Sockets sockets;
    BareRelay bare(sockets.sink->localAddress());
    BalancerRelay balancer(sockets.sink->localAddress());
    Throughput bareResult;
    Throughput balancerResult;
    // The relays take turns, so that both meet the same disturbances of the machine.
    for (std::uint64_t index = 0; index < rounds; ++index) {
        runRound(sockets, payload, bareResult,
            [&] { return bare.relay(sockets.listener->descriptor(), sockets.outgoing->descriptor()); });
        runRound(
            sockets, payload, balancerResult, [&] { return balancer.relay(*sockets.listener, *sockets.outgoing); });
    }
    nlohmann::json ours { { "datagrams_per_s", balancerResult.perSecond() },
        { "bare_relay_per_s", bareResult.perSecond() }, { "relayed", balancerResult.relayed },
        { "arrived", balancerResult.arrived } };
    ours["share_of_bare_relay"] = ours["datagrams_per_s"].get<double>() / ours["bare_relay_per_s"].get<double>();
    nlohmann::json naive;
    constexpr std::array<std::pair<std::size_t, const char*>, 3> sizes { { { 1'000, "1k" }, { 100'000, "100k" },
        { 1'000'000, "1m" } } };
    for (const auto& [flows, name] : sizes) {
        ours[std::string("balancer_ns_per_decision_") + name] = balancerDecision(flows, options.seed);
        ours[std::string("agent_ns_per_decision_") + name] = agentDecision(flows, options.seed);
        naive[std::string("ns_per_decision_") + name] = hashDecision(flows, options.seed);
    }
    return { { "ours", ours }, { "naive", naive } };
}

const ScenarioRegistration registration { { "forwarding",
    "Wall time of decisions, and of a balancer's datagrams beside a bare recvmmsg/sendmmsg relay in the same run",
    "--bytes N (512) --rounds N (4000)", run } };

} // namespace

} // namespace yuccahook::bench
