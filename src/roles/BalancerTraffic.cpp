#include "roles/BalancerTraffic.h"

#include "net/KeepAlive.h"
#include "net/OpenStatus.h"
#include "observe/Log.h"

#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

using flow::RefusalReason;

constexpr auto openTimeout = 2 * kj::SECONDS;
constexpr auto openRetryDelay = 100 * kj::MILLISECONDS;
constexpr std::size_t hintSlots = 1 << 17;
constexpr int maximumOpenAttempts = 50;

std::uint64_t randomSeed()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

} // namespace

/// One caller's TCP connection, relayed to an agent.
class BalancerTraffic::Stream final : public kj::Refcounted {
public:
    Stream(BalancerTraffic& traffic, std::uint64_t id, const flow::FlowKey& key, kj::Own<kj::AsyncIoStream> caller)
        : m_traffic(traffic)
        , m_id(id)
        , m_key(key)
        , m_relay(kj::refcounted<net::StreamRelay>(kj::mv(caller)))
    {
        m_relay->onTrunkLost([this] { resume(); });
    }

    kj::Promise<void> run()
    {
        m_opening
            = open(nullptr).eagerlyEvaluate([this](kj::Exception&&) { m_relay->reset(RefusalReason::TrunkLost); });
        return m_relay->whenDone();
    }

    /// Asks the agent to end the stream after the answer in progress, because this balancer is draining.
    void requestFinish()
    {
        KJ_IF_MAYBE (id, m_member) {
            const flow::Member* member = m_traffic.m_map->membership().member(*id);
            if (!member)
                return;
            m_finishRequest = m_traffic.m_pool.connect(*member)
                                  .then([this](schema::AgentNode::Client node) {
                                      auto request = node.streamsRequest().send().getTrunk().finishRequest();
                                      request.setStream(m_id);
                                      return request.send().ignoreResult();
                                  })
                                  .eagerlyEvaluate([](kj::Exception&&) {});
        }
    }

private:
    void resume()
    {
        if (m_relay->finished())
            return;
        m_opening = kj::evalLater([this] { return open(m_member); }).eagerlyEvaluate([this](kj::Exception&&) {
            m_relay->reset(RefusalReason::TrunkLost);
        });
    }

    // Opens the stream at `target`, or at the owner of the flow's bucket when there is no target.
    kj::Promise<void> open(kj::Maybe<std::uint32_t> target)
    {
        if (m_relay->finished())
            return kj::READY_NOW;
        const flow::Member* member = nullptr;
        KJ_IF_MAYBE (id, target) {
            member = m_traffic.m_map->membership().member(*id);
        } else {
            member = m_traffic.m_map->ownerOf(m_key);
        }
        if (!member) {
            const bool memberLeft = target != nullptr;
            return refuse(memberLeft ? RefusalReason::UnknownMember : RefusalReason::NoMember);
        }
        const std::uint32_t id = member->id;
        auto opening = m_traffic.m_pool.connect(*member).then([this, id](schema::AgentNode::Client node) {
            auto request = node.streamsRequest().send().getTrunk().openRequest();
            fillOpenRequest(request.initStream(), id);
            return request.send();
        });
        return m_traffic.m_loop.timer()
            .timeoutAfter(openTimeout, kj::mv(opening))
            .then([this, id](auto response) { return handleOpenResponse(id, response); },
                [this](kj::Exception&&) { return retry(); });
    }

    void fillOpenRequest(schema::OpenStream::Builder builder, std::uint32_t member)
    {
        builder.setStream(m_id);
        builder.setService(m_key.service);
        builder.setMember(member);
        builder.setRevision(m_traffic.m_map->revision());
        net::writeEndpoint(builder.initCaller(), m_key.caller);
        builder.setReceived(m_relay->received());
        builder.setResume(m_member != nullptr);
        builder.setPlaced(m_routing.kind == flow::RoutingKind::Placed);
        builder.setEpoch(m_routing.epoch);
        builder.setPlacement(m_routing.placement);
        builder.setDeclinedBy(m_routing.declinedBy);
        builder.setEnd(m_relay->streamEnd());
    }

    template <typename Response> kj::Promise<void> handleOpenResponse(std::uint32_t member, Response& response)
    {
        switch (static_cast<net::OpenStatus>(response.getStatus())) {
        case net::OpenStatus::Accepted:
            m_member = member;
            m_attempts = 0;
            m_relay->attach(response.getEnd(), response.getReceived());
            return kj::READY_NOW;
        case net::OpenStatus::Redirect:
            if (++m_attempts > maximumOpenAttempts)
                return refuse(RefusalReason::TooManyHops);
            m_routing = { response.getPlaced() ? flow::RoutingKind::Placed : flow::RoutingKind::Owner,
                response.getEpoch(), response.getPlacement(), response.getDeclinedBy() };
            return open(kj::Maybe<std::uint32_t>(response.getMember()));
        case net::OpenStatus::Refused:
            break;
        }
        const auto reason = static_cast<RefusalReason>(response.getReason());
        const bool transient = reason == RefusalReason::UnknownMember || reason == RefusalReason::OwnerChanging;
        if (transient && m_member == nullptr)
            return retry(); // either the agent or this balancer does not have the latest revision yet
        return refuse(reason);
    }

    // An accepted stream exists only at its agent, so it is resumed there. A stream that is not yet accepted is opened
    // at the current owner.
    kj::Promise<void> retry()
    {
        if (++m_attempts > maximumOpenAttempts)
            return refuse(RefusalReason::TrunkLost);
        m_routing = {};
        return m_traffic.m_loop.timer().afterDelay(openRetryDelay).then([this] { return open(m_member); });
    }

    kj::Promise<void> refuse(RefusalReason reason)
    {
        m_traffic.countRefusal(reason);
        m_relay->reset(reason);
        return kj::READY_NOW;
    }

    BalancerTraffic& m_traffic;
    const std::uint64_t m_id;
    const flow::FlowKey m_key;
    kj::Own<net::StreamRelay> m_relay;
    kj::Maybe<std::uint32_t> m_member; // set once an agent accepted the stream
    flow::Routing m_routing; // from the last redirect
    int m_attempts = 0;
    kj::Promise<void> m_opening = nullptr;
    kj::Promise<void> m_finishRequest = nullptr;
};

BalancerTraffic::BalancerTraffic(const settings::BalancerSettings& settings, net::EventLoop& loop,
    observe::Counters& counters, std::atomic<std::uint64_t>& openStreams)
    : m_settings(settings)
    , m_loop(loop)
    , m_counters(counters)
    , m_openStreams(openStreams)
    , m_map(std::make_unique<flow::BucketMap>(std::make_shared<flow::Membership>()))
    , m_hints(hintSlots)
    , m_pool(loop)
    , m_random(randomSeed())
    , m_datagramsIn(counters.counter("datagrams_from_callers_total"))
    , m_datagramsOut(counters.counter("datagrams_to_callers_total"))
{
    const std::string host = settings.listenHost.empty() ? "0.0.0.0" : settings.listenHost;
    m_trunk = net::DatagramSocket::bound(*net::Address::parseHost(host, 0));
    KJ_REQUIRE(m_trunk != nullptr, "trunk socket cannot be bound");
    m_trunkObserver = kj::heap<kj::UnixEventPort::FdObserver>(
        loop.eventPort(), m_trunk->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    loop.spawn(receiveFromTrunk());
}

BalancerTraffic::~BalancerTraffic() = default;

void BalancerTraffic::setMembership(flow::MembershipPointer membership)
{
    m_map = std::make_unique<flow::BucketMap>(std::move(membership), m_map.get());
    for (const auto& service : m_map->membership().services) {
        const auto found = m_listeners.find(service.id);
        if (service.withdrawn) {
            withdrawListener(service);
            continue;
        }
        if (found != m_listeners.end() && found->second->address != listenAddress(service))
            m_listeners.erase(found);
        if (!m_listeners.contains(service.id) && !m_draining)
            openListener(service);
    }
    m_pool.retainMembers(m_map->membership());
}

void BalancerTraffic::drain()
{
    m_draining = true;
    for (auto& [id, listener] : m_listeners) {
        if (!listener->streams)
            continue;
        listener->task = nullptr;
        listener->streams = nullptr;
    }
    for (auto& [id, stream] : m_streams)
        stream->requestFinish();
}

net::Address BalancerTraffic::listenAddress(const flow::ServiceSpec& service) const
{
    if (m_settings.listenHost.empty())
        return service.address;
    return *net::Address::parseHost(m_settings.listenHost, service.address.port);
}

// Open streams do not need their listener. Datagrams of open flows still arrive at the service's address, so that
// socket is kept until the withdrawal period is over.
void BalancerTraffic::withdrawListener(const flow::ServiceSpec& service)
{
    const auto found = m_listeners.find(service.id);
    if (found == m_listeners.end() || found->second->closing)
        return;
    if (!found->second->datagrams) {
        m_listeners.erase(found);
        return;
    }
    found->second->closing = true;
    const auto period = static_cast<std::int64_t>(service.withdrawSeconds) * kj::SECONDS;
    m_loop.spawn(m_loop.timer().afterDelay(period).then([this, id = service.id] { m_listeners.erase(id); }));
}

// Closes listeners of withdrawn services on `address`, as another service may use the address of a withdrawn service
// before its withdrawal period is over.
void BalancerTraffic::releaseAddress(const net::Address& address)
{
    std::erase_if(m_listeners,
        [&address](const auto& entry) { return entry.second->closing && entry.second->address == address; });
}

void BalancerTraffic::openListener(const flow::ServiceSpec& service)
{
    releaseAddress(listenAddress(service));
    auto listener = std::make_unique<ServiceListener>();
    listener->address = listenAddress(service);
    const auto failure = kj::runCatchingExceptions([&] {
        if (service.protocol == flow::Protocol::Datagram) {
            listener->datagrams = net::DatagramSocket::bound(listener->address, true);
            KJ_REQUIRE(listener->datagrams != nullptr, "listen address cannot be bound");
            listener->observer = kj::heap<kj::UnixEventPort::FdObserver>(
                m_loop.eventPort(), listener->datagrams->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
            listener->task = receiveFromCallers(service.id, *listener).eagerlyEvaluate(nullptr);
        } else {
            sockaddr_storage socket {};
            const socklen_t length = listener->address.toSocket(socket);
            listener->streams = m_loop.network().getSockaddr(&socket, length)->listen();
            listener->task = acceptStreams(service.id, *listener).eagerlyEvaluate([](kj::Exception&& exception) {
                observe::log(
                    observe::Level::Error, "accept-failed", { { "reason", exception.getDescription().cStr() } });
            });
        }
    });
    if (failure == nullptr) {
        m_listeners.emplace(service.id, std::move(listener));
        return;
    }
    m_counters.counter("entrances_refused_total") += 1;
    observe::log(observe::Level::Error, "service-address-unavailable",
        { { "service", service.name }, { "address", listener->address.text() } });
}

kj::Promise<void> BalancerTraffic::receiveFromCallers(std::uint32_t service, ServiceListener& listener)
{
    while (listener.datagrams->receive([&](const net::Address& caller, net::Bytes payload) {
        forwardToAgent(service, caller, payload);
    }) > 0)
        m_trunk->flush();
    return listener.observer->whenBecomesReadable().then(
        [this, service, &listener] { return receiveFromCallers(service, listener); });
}

void BalancerTraffic::forwardToAgent(std::uint32_t service, const net::Address& caller, net::Bytes payload)
{
    m_datagramsIn.fetch_add(1, std::memory_order_relaxed);
    const flow::FlowKey key { caller, service };
    const flow::Member* target = m_map->membership().member(m_hints.holderOf(key));
    if (!target || target->state == flow::MemberState::Lost)
        target = m_map->ownerOf(key);
    if (!target) {
        countRefusal(RefusalReason::NoMember);
        return;
    }
    net::TrunkDatagram datagram;
    datagram.member = target->id;
    datagram.revision = m_map->revision();
    datagram.key = key;
    datagram.payload = payload;
    const net::Bytes encoded = m_encoder.encode(datagram);
    if (!encoded.empty())
        m_trunk->queue(target->trunk, encoded);
}

kj::Promise<void> BalancerTraffic::receiveFromTrunk()
{
    while (m_trunk->receive([this](const net::Address&, net::Bytes bytes) {
        if (const auto datagram = net::decodeTrunkDatagram(bytes))
            handleAgentDatagram(*datagram);
    }) > 0) {
        for (auto& [id, listener] : m_listeners) {
            if (listener->datagrams)
                listener->datagrams->flush();
        }
    }
    return m_trunkObserver->whenBecomesReadable().then([this] { return receiveFromTrunk(); });
}

void BalancerTraffic::handleAgentDatagram(const net::TrunkDatagram& datagram)
{
    if (datagram.kind == net::DatagramKind::Refusal) {
        m_hints.forget(datagram.key);
        countRefusal(datagram.reason);
        return;
    }
    const auto found = m_listeners.find(datagram.key.service);
    if (found == m_listeners.end() || !found->second->datagrams) {
        countRefusal(RefusalReason::UnknownService);
        return;
    }
    m_hints.learn(datagram.key, datagram.member);
    m_datagramsOut.fetch_add(1, std::memory_order_relaxed);
    found->second->datagrams->queue(datagram.key.caller, datagram.payload);
}

kj::Promise<void> BalancerTraffic::acceptStreams(std::uint32_t service, ServiceListener& listener)
{
    return listener.streams->accept().then([this, service, &listener](auto stream) {
        startStream(service, kj::mv(stream));
        return acceptStreams(service, listener);
    });
}

void BalancerTraffic::startStream(std::uint32_t service, kj::Own<kj::AsyncIoStream> caller)
{
    if (m_streams.size() >= m_settings.maximumStreams) {
        countRefusal(RefusalReason::TableFull);
        return;
    }
    net::enableKeepAlive(*caller);
    sockaddr_storage socket {};
    unsigned length = sizeof(socket);
    caller->getpeername(reinterpret_cast<sockaddr*>(&socket), &length);
    const flow::FlowKey key { net::Address::fromSocket(socket), service };
    const std::uint64_t id = m_random();
    auto stream = kj::refcounted<Stream>(*this, id, key, kj::mv(caller));
    m_counters.counter("streams_opened_total") += 1;
    ++m_openStreams;
    m_loop.spawn(stream->run().then([this, id] {
        m_streams.erase(id);
        --m_openStreams;
    }));
    m_streams.emplace(id, kj::mv(stream));
}

void BalancerTraffic::countRefusal(RefusalReason reason)
{
    m_counters.counter("flows_refused_total", "reason", kernel::nameOf(reason)) += 1;
}

} // namespace yuccahook::roles
