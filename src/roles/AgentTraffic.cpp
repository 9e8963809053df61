#include "roles/AgentTraffic.h"

#include "net/KeepAlive.h"
#include "observe/Log.h"

#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

using flow::RefusalReason;
using flow::Verdict;

constexpr auto expireInterval = 1 * kj::SECONDS;

kj::Own<kj::NetworkAddress> networkAddress(kj::Network& network, const net::Address& address)
{
    sockaddr_storage socket {};
    const socklen_t length = address.toSocket(socket);
    return network.getSockaddr(&socket, length);
}

} // namespace

/// The bootstrap interface of the agent's trunk.
class AgentTraffic::Node final : public schema::AgentNode::Server {
public:
    explicit Node(AgentTraffic& traffic)
        : m_streams(traffic.m_streams.trunk())
        , m_requests(traffic.m_requests.peer())
    {
    }

    kj::Promise<void> streams(StreamsContext context) override
    {
        context.getResults().setTrunk(m_streams);
        return kj::READY_NOW;
    }

    kj::Promise<void> requests(RequestsContext context) override
    {
        context.getResults().setPeer(m_requests);
        return kj::READY_NOW;
    }

private:
    schema::StreamTrunk::Client m_streams;
    schema::RequestPeer::Client m_requests;
};

AgentTraffic::AgentTraffic(std::string name, const settings::AgentSettings& settings, net::Loop& loop,
    observe::Counters& counters, std::atomic<std::uint64_t>& openFlows)
    : m_name(std::move(name))
    , m_settings(settings)
    , m_loop(loop)
    , m_counters(counters)
    , m_openFlows(openFlows)
    , m_flows(settings.maximumFlows)
    , m_requests(loop, counters)
    , m_streams(loop, counters, m_flows, m_requests)
    , m_trunk(net::DatagramSocket::bound(settings.trunk))
{
    KJ_REQUIRE(m_trunk != nullptr, "trunk address unavailable", settings.trunk.text().c_str());
    m_trunkObserver = kj::heap<kj::UnixEventPort::FdObserver>(
        loop.eventPort(), m_trunk->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    m_server = kj::heap<capnp::TwoPartyServer>(kj::heap<Node>(*this));
    m_receiver = networkAddress(loop.network(), settings.trunk)->listen();
    m_streams.onChange([this] { countFlows(); });
    loop.spawn(acceptTrunks());
    loop.spawn(takeTrunk());
    loop.spawn(expireIdle());
}

AgentTraffic::~AgentTraffic() = default;

void AgentTraffic::setMembership(flow::MembershipPointer membership)
{
    m_membership = std::move(membership);
    applyMembership();
}

void AgentTraffic::setIncarnation(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    applyMembership();
}

void AgentTraffic::applyMembership()
{
    if (!m_membership)
        return;
    m_member = findSelf();
    m_flows.setMembership(m_membership, m_member);
    m_streams.setMembership(m_membership, m_member);
    m_requests.setMembership(m_membership, m_member);
}

std::uint32_t AgentTraffic::findSelf() const
{
    for (const auto& member : m_membership->members) {
        if (member.agent == m_name && member.incarnation == m_incarnation)
            return member.id;
    }
    return 0;
}

void AgentTraffic::setBackend(const net::Address& address)
{
    m_backend = address;
    m_streams.setBackend(address);
    m_requests.setBackend(address);
}

void AgentTraffic::drain()
{
    m_flows.drain();
    m_streams.drain();
}

flow::Time AgentTraffic::now() const
{
    return std::chrono::nanoseconds((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
}

kj::Promise<void> AgentTraffic::takeTrunk()
{
    while (m_trunk->receive([this](const net::Address& source, net::Bytes bytes) {
        if (const auto datagram = net::decodeTrunk(bytes))
            fromTrunk(source, *datagram);
    }) > 0)
        m_trunk->flush();
    return m_trunkObserver->whenBecomesReadable().then([this] { return takeTrunk(); });
}

void AgentTraffic::fromTrunk(const net::Address& source, net::TrunkDatagram datagram)
{
    if (datagram.kind != net::DatagramKind::Forward)
        return;
    if (!datagram.returnAddress.isSet())
        datagram.returnAddress = source;
    if (datagram.member != m_member) {
        refuse(datagram, RefusalReason::UnknownMember);
        return;
    }
    const flow::Packet packet { datagram.key, datagram.hint, static_cast<std::uint32_t>(datagram.payload.size()),
        datagram.revision, datagram.hops };
    const auto decision = m_flows.decide(packet, now());
    switch (decision.verdict) {
    case Verdict::Open:
        openDatagramFlow(datagram);
        [[fallthrough]];
    case Verdict::Deliver:
        if (const auto found = m_datagramFlows.find(datagram.key); found != m_datagramFlows.end()) {
            found->second->balancer = datagram.returnAddress;
            found->second->socket->sendNow(datagram.payload);
        }
        return;
    case Verdict::Forward:
        forward(decision.member, datagram);
        return;
    case Verdict::Refuse:
        refuse(datagram, decision.reason);
        return;
    }
}

void AgentTraffic::openDatagramFlow(const net::TrunkDatagram& datagram)
{
    auto socket = m_backend ? net::DatagramSocket::connected(*m_backend) : nullptr;
    if (!socket) {
        m_flows.close(datagram.key);
        refuse(datagram, RefusalReason::BackendUnreachable);
        return;
    }
    auto flow = std::make_unique<DatagramFlow>();
    flow->socket = std::move(socket);
    flow->observer = kj::heap<kj::UnixEventPort::FdObserver>(
        m_loop.eventPort(), flow->socket->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    flow->replies = takeReplies(datagram.key, *flow).eagerlyEvaluate(nullptr);
    m_datagramFlows[datagram.key] = std::move(flow);
    countFlows();
}

kj::Promise<void> AgentTraffic::takeReplies(flow::FlowKey key, DatagramFlow& flow)
{
    while (flow.socket->receive([&](const net::Address&, net::Bytes payload) {
        net::TrunkDatagram reply;
        reply.kind = net::DatagramKind::Reply;
        reply.member = m_member;
        reply.revision = m_membership ? m_membership->revision : 0;
        reply.key = key;
        reply.payload = payload;
        const net::Bytes encoded = m_buffer.encode(reply);
        if (!encoded.empty())
            m_trunk->queue(flow.balancer, encoded);
    }) > 0)
        m_trunk->flush();
    return flow.observer->whenBecomesReadable().then([this, key, &flow] { return takeReplies(key, flow); });
}

void AgentTraffic::forward(std::uint32_t member, net::TrunkDatagram datagram)
{
    const flow::Member* target = m_membership->member(member);
    if (!target)
        return;
    ++datagram.hops;
    datagram.member = member;
    datagram.revision = m_membership->revision;
    const net::Bytes encoded = m_buffer.encode(datagram);
    if (!encoded.empty())
        m_trunk->queue(target->trunk, encoded);
}

void AgentTraffic::refuse(const net::TrunkDatagram& datagram, RefusalReason reason)
{
    m_counters.counter("flows_refused_total", "reason", kernel::nameOf(reason)) += 1;
    net::TrunkDatagram refusal;
    refusal.kind = net::DatagramKind::Refusal;
    refusal.reason = reason;
    refusal.member = m_member;
    refusal.key = datagram.key;
    const net::Bytes encoded = m_buffer.encode(refusal);
    m_trunk->queue(datagram.returnAddress, encoded);
}

kj::Promise<void> AgentTraffic::acceptTrunks()
{
    return m_receiver->accept().then([this](auto stream) {
        net::enableKeepAlive(*stream);
        m_server->accept(kj::mv(stream));
        return acceptTrunks();
    });
}

kj::Promise<void> AgentTraffic::expireIdle()
{
    return m_loop.timer().afterDelay(expireInterval).then([this] {
        for (const auto& key : m_flows.expire(now()))
            m_datagramFlows.erase(key);
        countFlows();
        return expireIdle();
    });
}

void AgentTraffic::countFlows() { m_openFlows = m_streams.size() + m_datagramFlows.size(); }

} // namespace yuccahook::roles
