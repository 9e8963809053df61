#include "roles/AgentTraffic.h"

#include "net/OpenStatus.h"
#include "observe/Log.h"

#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

using flow::RefusalReason;
using flow::Verdict;

constexpr auto expireInterval = 1 * kj::SECONDS;
constexpr auto resumeTimeout = 15 * kj::SECONDS;
constexpr auto backendTimeout = 2 * kj::SECONDS;

kj::Own<kj::NetworkAddress> networkAddress(kj::Network& network, const net::Address& address)
{
    sockaddr_storage socket {};
    const socklen_t length = address.toSocket(socket);
    return network.getSockaddr(&socket, length);
}

} // namespace

/// Opens and resumes streams for balancers.
class AgentTraffic::StreamTrunkServer final : public schema::StreamTrunk::Server {
public:
    explicit StreamTrunkServer(AgentTraffic& traffic)
        : m_traffic(traffic)
    {
    }

    kj::Promise<void> open(OpenContext context) override
    {
        const auto stream = context.getParams().getStream();
        const std::uint64_t id = stream.getStream();
        const flow::FlowKey key { net::readEndpoint(stream.getCaller()), stream.getService() };
        if (const auto known = m_traffic.m_streams.find(id); known != m_traffic.m_streams.end()) {
            accept(context, *known->second.relay);
            return kj::READY_NOW;
        }
        if (stream.getResume())
            return refuse(context, RefusalReason::UnknownFlow);
        if (stream.getMember() != m_traffic.m_member)
            return refuse(context, RefusalReason::UnknownMember);
        const flow::Packet packet { key, flow::PacketHint::Start, 0, stream.getRevision(), 0 };
        const auto decision = m_traffic.m_flows.decide(packet, m_traffic.now());
        switch (decision.verdict) {
        case Verdict::Deliver:
        case Verdict::Open:
            return m_traffic.openStream(id, key).then(
                [this, context](kj::Own<net::StreamRelay> relay) mutable {
                    accept(context, *relay);
                    return kj::Promise<void>(kj::READY_NOW);
                },
                [this, context, key](kj::Exception&&) mutable {
                    m_traffic.m_flows.close(key);
                    return refuse(context, RefusalReason::BackendUnreachable);
                });
        case Verdict::Forward:
            context.getResults().setStatus(static_cast<std::uint8_t>(net::OpenStatus::Redirect));
            context.getResults().setMember(decision.member);
            return kj::READY_NOW;
        case Verdict::Refuse:
            break;
        }
        return refuse(context, decision.reason);
    }

    kj::Promise<void> ping(PingContext context) override
    {
        context.getResults().setMember(m_traffic.m_member);
        return kj::READY_NOW;
    }

private:
    void accept(OpenContext& context, net::StreamRelay& relay)
    {
        const auto stream = context.getParams().getStream();
        auto results = context.getResults();
        results.setStatus(static_cast<std::uint8_t>(net::OpenStatus::Accepted));
        results.setReceived(relay.received());
        results.setEnd(relay.end());
        relay.attach(stream.getEnd(), stream.getReceived());
    }

    kj::Promise<void> refuse(OpenContext& context, RefusalReason reason)
    {
        m_traffic.m_counters.counter("flows_refused_total", "reason", kernel::nameOf(reason)) += 1;
        auto results = context.getResults();
        results.setStatus(static_cast<std::uint8_t>(net::OpenStatus::Refused));
        results.setReason(static_cast<std::uint8_t>(reason));
        return kj::READY_NOW;
    }

    AgentTraffic& m_traffic;
};

/// The bootstrap interface of the agent's trunk.
class AgentTraffic::Node final : public schema::AgentNode::Server {
public:
    explicit Node(AgentTraffic& traffic)
        : m_streams(kj::heap<StreamTrunkServer>(traffic))
    {
    }

    kj::Promise<void> streams(StreamsContext context) override
    {
        context.getResults().setTrunk(m_streams);
        return kj::READY_NOW;
    }

private:
    schema::StreamTrunk::Client m_streams;
};

AgentTraffic::AgentTraffic(std::string name, const settings::AgentSettings& settings, net::Loop& loop,
    observe::Counters& counters, std::atomic<std::uint64_t>& openFlows)
    : m_name(std::move(name))
    , m_settings(settings)
    , m_loop(loop)
    , m_counters(counters)
    , m_openFlows(openFlows)
    , m_flows(settings.maximumFlows)
    , m_trunk(net::DatagramSocket::bound(settings.trunk))
{
    KJ_REQUIRE(m_trunk != nullptr, "trunk address unavailable", settings.trunk.text().c_str());
    m_trunkObserver = kj::heap<kj::UnixEventPort::FdObserver>(
        loop.eventPort(), m_trunk->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    m_server = kj::heap<capnp::TwoPartyServer>(kj::heap<Node>(*this));
    m_receiver = networkAddress(loop.network(), settings.trunk)->listen();
    loop.spawn(m_server->listen(*m_receiver));
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
    if (m_backend == address)
        return;
    m_backend = address;
    m_http = std::make_unique<request::HttpFront>(m_loop, networkAddress(m_loop.network(), address), m_counters);
}

void AgentTraffic::drain()
{
    m_flows.drain();
    if (m_http)
        m_loop.spawn(m_http->drain());
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

kj::Promise<kj::Own<net::StreamRelay>> AgentTraffic::openStream(std::uint64_t id, const flow::FlowKey& key)
{
    KJ_REQUIRE(m_backend.has_value(), "no backend server");
    const auto* service = m_membership->service(key.service);
    kj::Promise<void> serving = nullptr;
    kj::Promise<kj::Own<kj::AsyncIoStream>> local = nullptr;
    if (service->protocol == flow::Protocol::Http) {
        auto pipe = kj::newTwoWayPipe();
        serving = m_http->serve(kj::mv(pipe.ends[1])).eagerlyEvaluate([](kj::Exception&&) {});
        local = kj::mv(pipe.ends[0]);
    } else {
        auto target = networkAddress(m_loop.network(), *m_backend);
        auto connecting = target->connect().attach(kj::mv(target));
        local = m_loop.timer().timeoutAfter(backendTimeout, kj::mv(connecting));
    }
    return local.then([this, id, key, serving = kj::mv(serving)](kj::Own<kj::AsyncIoStream> stream) mutable {
        auto relay = kj::refcounted<net::StreamRelay>(kj::mv(stream));
        relay->onDetached([this, id] { m_loop.spawn(abandonUnlessResumed(id)); });
        m_loop.spawn(relay->whenDone().then([this, id] { closeStream(id); }));
        auto result = kj::addRef(*relay);
        m_streams.insert_or_assign(id, StreamFlow { key, kj::mv(relay), kj::mv(serving) });
        countFlows();
        return result;
    });
}

void AgentTraffic::closeStream(std::uint64_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    m_flows.close(found->second.key);
    m_streams.erase(found);
    countFlows();
}

kj::Promise<void> AgentTraffic::abandonUnlessResumed(std::uint64_t id)
{
    return m_loop.timer().afterDelay(resumeTimeout).then([this, id] {
        const auto found = m_streams.find(id);
        if (found != m_streams.end() && !found->second.relay->attached())
            found->second.relay->reset(RefusalReason::TrunkLost);
    });
}

} // namespace yuccahook::roles
