#include "roles/AgentStreams.h"

#include "net/OpenStatus.h"

#include <kj/debug.h>

namespace yuccahook::roles {

namespace {

using flow::RefusalReason;
using flow::Verdict;

constexpr auto resumeTimeout = 15 * kj::SECONDS;
constexpr auto backendTimeout = 2 * kj::SECONDS;
constexpr auto probeInterval = 10 * kj::SECONDS;
constexpr auto probeTimeout = 5 * kj::SECONDS;

kj::Own<kj::NetworkAddress> networkAddress(kj::Network& network, const net::Address& address)
{
    sockaddr_storage socket {};
    const socklen_t length = address.toSocket(socket);
    return network.getSockaddr(&socket, length);
}

} // namespace

/// Opens and resumes streams for balancers.
class AgentStreams::Server final : public schema::StreamTrunk::Server {
public:
    explicit Server(AgentStreams& streams)
        : m_streams(streams)
    {
    }

    kj::Promise<void> open(OpenContext context) override
    {
        const auto stream = context.getParams().getStream();
        const std::uint64_t id = stream.getStream();
        const flow::FlowKey key { net::readEndpoint(stream.getCaller()), stream.getService() };
        if (const auto known = m_streams.m_streams.find(id); known != m_streams.m_streams.end()) {
            accept(context, *known->second.relay);
            return kj::READY_NOW;
        }
        if (stream.getResume())
            return refuse(context, RefusalReason::UnknownFlow);
        if (stream.getMember() != m_streams.m_member)
            return refuse(context, RefusalReason::UnknownMember);
        const flow::RoutingKind route = stream.getPlaced() ? flow::RoutingKind::Placed : flow::RoutingKind::Owner;
        const flow::Packet packet { key, flow::PacketHint::Start, 0, stream.getRevision(), 0,
            { route, stream.getEpoch(), stream.getPlacement(), stream.getDeclinedBy() } };
        const auto decision = m_streams.m_flows.decide(packet, m_streams.now());
        switch (decision.verdict) {
        case Verdict::Deliver:
        case Verdict::Open:
            return m_streams.open(id, key).then(
                [this, context](kj::Own<net::StreamRelay> relay) mutable {
                    accept(context, *relay);
                    return kj::Promise<void>(kj::READY_NOW);
                },
                [this, context, key](kj::Exception&&) mutable {
                    m_streams.m_flows.close(key, m_streams.now());
                    return refuse(context, RefusalReason::BackendUnreachable);
                });
        case Verdict::Forward:
            context.getResults().setStatus(static_cast<std::uint8_t>(net::OpenStatus::Redirect));
            context.getResults().setMember(decision.member);
            context.getResults().setPlaced(decision.routing.kind == flow::RoutingKind::Placed);
            context.getResults().setEpoch(decision.routing.epoch);
            context.getResults().setPlacement(decision.routing.placement);
            context.getResults().setDeclinedBy(decision.routing.declinedBy);
            return kj::READY_NOW;
        case Verdict::Probe:
        case Verdict::Drop:
            return refuse(context, RefusalReason::OwnerChanging); // the balancer retries
        case Verdict::Refuse:
            break;
        }
        return refuse(context, decision.reason);
    }

    kj::Promise<void> finish(FinishContext context) override
    {
        m_streams.finish(context.getParams().getStream());
        return kj::READY_NOW;
    }

    kj::Promise<void> ping(PingContext context) override
    {
        context.getResults().setMember(m_streams.m_member);
        return kj::READY_NOW;
    }

private:
    void accept(OpenContext& context, net::StreamRelay& relay)
    {
        const auto stream = context.getParams().getStream();
        auto results = context.getResults();
        results.setStatus(static_cast<std::uint8_t>(net::OpenStatus::Accepted));
        results.setReceived(relay.received());
        results.setEnd(relay.streamEnd());
        relay.attach(stream.getEnd(), stream.getReceived());
    }

    kj::Promise<void> refuse(OpenContext& context, RefusalReason reason)
    {
        m_streams.m_counters.counter("flows_refused_total", "reason", kernel::nameOf(reason)) += 1;
        auto results = context.getResults();
        results.setStatus(static_cast<std::uint8_t>(net::OpenStatus::Refused));
        results.setReason(static_cast<std::uint8_t>(reason));
        return kj::READY_NOW;
    }

    AgentStreams& m_streams;
};

AgentStreams::AgentStreams(
    net::EventLoop& loop, observe::Counters& counters, flow::AgentFlows& flows, AgentRequests& requests)
    : m_loop(loop)
    , m_counters(counters)
    , m_flows(flows)
    , m_requests(requests)
{
    loop.spawn(probeIdleStreams());
}

AgentStreams::~AgentStreams() = default;

schema::StreamTrunk::Client AgentStreams::trunk() { return kj::heap<Server>(*this); }

void AgentStreams::setMembership(flow::MembershipPointer membership, std::uint32_t member)
{
    m_membership = std::move(membership);
    m_member = member;
}

void AgentStreams::setBackend(const net::Address& address) { m_backend = address; }

void AgentStreams::drain()
{
    for (auto& [id, stream] : m_streams) {
        if (stream.session.get() != nullptr)
            stream.session->drain();
    }
}

flow::Time AgentStreams::now() const
{
    return std::chrono::nanoseconds((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
}

kj::Promise<kj::Own<net::StreamRelay>> AgentStreams::open(std::uint64_t id, const flow::FlowKey& key)
{
    KJ_REQUIRE(m_backend.has_value(), "no backend server");
    const auto* service = m_membership->service(key.service);
    if (service->protocol == flow::Protocol::Http) {
        auto pipe = kj::newTwoWayPipe();
        auto session = m_requests.serve(kj::mv(pipe.ends[1]));
        auto relay = kj::refcounted<net::StreamRelay>(kj::mv(pipe.ends[0]));
        relay->endWhenLocalEnds();
        return add(id, { key, kj::mv(relay), kj::mv(session) });
    }
    auto target = networkAddress(m_loop.network(), *m_backend);
    auto connecting = target->connect().attach(kj::mv(target));
    return m_loop.timer().timeoutAfter(backendTimeout, kj::mv(connecting)).then([this, id, key](auto stream) {
        return add(
            id, { key, kj::refcounted<net::StreamRelay>(kj::mv(stream)), kj::Own<request::HttpFrontend::Session>() });
    });
}

kj::Own<net::StreamRelay> AgentStreams::add(std::uint64_t id, Stream stream)
{
    auto relay = kj::addRef(*stream.relay);
    relay->onTrunkLost([this, id] { m_loop.spawn(resetUnlessResumed(id)); });
    m_loop.spawn(relay->whenDone().then([this, id] { close(id); }));
    m_streams.insert_or_assign(id, kj::mv(stream));
    m_onChange();
    return relay;
}

void AgentStreams::finish(std::uint64_t id)
{
    const auto found = m_streams.find(id);
    if (found != m_streams.end() && found->second.session.get() != nullptr)
        found->second.session->drain();
}

void AgentStreams::close(std::uint64_t id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    m_flows.close(found->second.key, now());
    m_streams.erase(found);
    m_onChange();
}

// Whether the period in which open flows of a withdrawn service may continue is over.
bool AgentStreams::withdrawalPeriodEnded()
{
    const auto* self = m_membership ? m_membership->member(m_member) : nullptr;
    const auto* service = self ? m_membership->service(self->service) : nullptr;
    if (!service || !service->withdrawn) {
        m_withdrawnSince.reset();
        return false;
    }
    if (!m_withdrawnSince)
        m_withdrawnSince = now();
    return now() - *m_withdrawnSince >= std::chrono::seconds(service->withdrawSeconds);
}

// Detects balancers that stopped while the connection to them stays open, by probing streams without traffic.
kj::Promise<void> AgentStreams::probeIdleStreams()
{
    return m_loop.timer().afterDelay(probeInterval).then([this] {
        const bool periodEnded = withdrawalPeriodEnded();
        for (auto& [id, stream] : m_streams) {
            if (periodEnded)
                stream.relay->reset(RefusalReason::Withdrawn);
            else if (stream.relay->transferredBytes() == stream.transferredAtProbe)
                stream.relay->probe(m_loop.timer(), probeTimeout);
            stream.transferredAtProbe = stream.relay->transferredBytes();
        }
        return probeIdleStreams();
    });
}

kj::Promise<void> AgentStreams::resetUnlessResumed(std::uint64_t id)
{
    return m_loop.timer().afterDelay(resumeTimeout).then([this, id] {
        const auto found = m_streams.find(id);
        if (found != m_streams.end() && !found->second.relay->attached())
            found->second.relay->reset(RefusalReason::TrunkLost);
    });
}

} // namespace yuccahook::roles
