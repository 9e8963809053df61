#include "roles/AgentDatagrams.h"

#include <algorithm>
#include <kj/debug.h>

namespace yuccahook::roles {

namespace {

using flow::RefusalReason;
using flow::Verdict;

constexpr auto expireInterval = 1 * kj::SECONDS;

} // namespace

AgentDatagrams::AgentDatagrams(
    const net::Address& trunk, net::EventLoop& loop, observe::Counters& counters, flow::AgentFlows& flows)
    : m_loop(loop)
    , m_counters(counters)
    , m_flows(flows)
    , m_trunk(net::DatagramSocket::bound(trunk))
    , m_forwarded(counters.counter("datagrams_forwarded_to_agents_total"))
    , m_probes(counters.counter("datagram_probes_total"))
    , m_unknownProbes(counters.counter("datagram_probes_unknown_total"))
{
    KJ_REQUIRE(m_trunk != nullptr, "trunk address unavailable", trunk.text().c_str());
    m_trunkObserver = kj::heap<kj::UnixEventPort::FdObserver>(
        loop.eventPort(), m_trunk->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    loop.spawn(receiveFromTrunk());
    loop.spawn(expireIdle());
}

void AgentDatagrams::setMembership(flow::MembershipPointer membership, std::uint32_t member)
{
    m_membership = std::move(membership);
    m_member = member;
}

flow::Time AgentDatagrams::now() const
{
    return std::chrono::nanoseconds((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
}

kj::Promise<void> AgentDatagrams::receiveFromTrunk()
{
    // Decodes the whole batch before handling it, so that the prefetches of the flow table complete meanwhile. The
    // datagrams point into the receive buffer, which is valid until this thread receives the next batch.
    while (m_trunk->receive([this](const net::Address& source, net::Bytes bytes) { addToBatch(source, bytes); }) > 0) {
        for (const auto& datagram : m_batch)
            handleForward(datagram);
        m_batch.clear();
        m_trunk->flush();
    }
    return m_trunkObserver->whenBecomesReadable().then([this] { return receiveFromTrunk(); });
}

void AgentDatagrams::addToBatch(const net::Address& source, net::Bytes bytes)
{
    auto datagram = net::decodeTrunkDatagram(bytes);
    if (!datagram || datagram->kind != net::DatagramKind::Forward)
        return;
    if (!datagram->returnAddress.isSet())
        datagram->returnAddress = source;
    m_flows.prefetch(datagram->key);
    m_batch.push_back(*datagram);
}

void AgentDatagrams::handleForward(const net::TrunkDatagram& datagram)
{
    flow::Packet packet { datagram.key, datagram.hint, static_cast<std::uint32_t>(datagram.payload.size()),
        datagram.revision, datagram.hops, datagram.routing };
    // A placement addressed to an earlier process on this address does not apply to this process.
    if (datagram.member != m_member && packet.routing.kind == flow::RoutingKind::Placed)
        packet.routing = {};
    const auto decision = m_flows.decide(packet, now());
    switch (decision.verdict) {
    case Verdict::Open:
        open(datagram);
        return;
    case Verdict::Deliver:
        deliver(datagram);
        return;
    case Verdict::Forward:
        ++m_forwarded;
        forward(decision.member, datagram, decision.routing);
        return;
    case Verdict::Probe:
        sendProbes(datagram, decision.routing);
        return;
    case Verdict::Drop:
        ++m_unknownProbes;
        return;
    case Verdict::Refuse:
        refuse(datagram, decision.reason);
        return;
    }
}

void AgentDatagrams::open(const net::TrunkDatagram& datagram)
{
    auto socket = m_backend ? net::DatagramSocket::connected(*m_backend) : nullptr;
    if (!socket) {
        m_flows.close(datagram.key, now());
        refuse(datagram, RefusalReason::BackendUnreachable);
        return;
    }
    auto flow = std::make_unique<Flow>();
    flow->socket = std::move(socket);
    flow->observer = kj::heap<kj::UnixEventPort::FdObserver>(
        m_loop.eventPort(), flow->socket->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    // Deferred, because the datagrams being handled are in the receive buffer that the thread's sockets share.
    flow->replies = kj::evalLater([this, key = datagram.key, &opened = *flow] {
        return receiveReplies(key, opened);
    }).eagerlyEvaluate(nullptr);
    m_openFlows[datagram.key] = std::move(flow);
    m_onChange();
    deliver(datagram);
}

void AgentDatagrams::deliver(const net::TrunkDatagram& datagram)
{
    const auto found = m_openFlows.find(datagram.key);
    if (found == m_openFlows.end())
        return;
    found->second->balancer = datagram.returnAddress;
    found->second->socket->sendNow(datagram.payload);
}

kj::Promise<void> AgentDatagrams::receiveReplies(flow::FlowKey key, Flow& flow)
{
    while (flow.socket->receive([&](const net::Address&, net::Bytes payload) {
        net::TrunkDatagram reply;
        reply.kind = net::DatagramKind::Reply;
        reply.member = m_member;
        reply.revision = m_membership ? m_membership->revision : 0;
        reply.key = key;
        reply.payload = payload;
        const net::Bytes encoded = m_encoder.encode(reply);
        if (!encoded.empty())
            m_trunk->queue(flow.balancer, encoded);
    }) > 0)
        m_trunk->flush();
    return flow.observer->whenBecomesReadable().then([this, key, &flow] { return receiveReplies(key, flow); });
}

void AgentDatagrams::forward(std::uint32_t member, net::TrunkDatagram datagram, const flow::Routing& routing)
{
    const flow::Member* target = m_membership ? m_membership->member(member) : nullptr;
    if (!target) {
        refuse(datagram, RefusalReason::OwnerChanging);
        return;
    }
    ++datagram.hops;
    datagram.member = member;
    datagram.revision = std::max(datagram.revision, m_membership->revision);
    datagram.routing = routing;
    const net::Bytes encoded = m_encoder.encode(datagram);
    if (!encoded.empty())
        m_trunk->queue(target->trunk, encoded);
}

void AgentDatagrams::sendProbes(const net::TrunkDatagram& datagram, flow::Routing routing)
{
    for (const std::uint32_t member : m_flows.probeTargets()) {
        ++m_probes;
        forward(member, datagram, routing);
        routing.kind = flow::RoutingKind::Probe;
    }
}

void AgentDatagrams::refuse(const net::TrunkDatagram& datagram, RefusalReason reason)
{
    m_counters.counter("flows_refused_total", "reason", kernel::nameOf(reason)) += 1;
    net::TrunkDatagram refusal;
    refusal.kind = net::DatagramKind::Refusal;
    refusal.reason = reason;
    refusal.member = m_member;
    refusal.key = datagram.key;
    const net::Bytes encoded = m_encoder.encode(refusal);
    m_trunk->queue(datagram.returnAddress, encoded);
}

kj::Promise<void> AgentDatagrams::expireIdle()
{
    return m_loop.timer().afterDelay(expireInterval).then([this] {
        for (const auto& key : m_flows.expire(now()))
            m_openFlows.erase(key);
        m_onChange();
        return expireIdle();
    });
}

} // namespace yuccahook::roles
