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

/// One caller's TCP connection and its way to an agent.
class BalancerTraffic::Stream final : public kj::Refcounted {
public:
    Stream(BalancerTraffic& traffic, std::uint64_t id, const flow::FlowKey& key, kj::Own<kj::AsyncIoStream> caller)
        : m_traffic(traffic)
        , m_id(id)
        , m_key(key)
        , m_relay(kj::refcounted<net::StreamRelay>(kj::mv(caller)))
    {
        m_relay->onDetached([this] { resume(); });
    }

    kj::Promise<void> run()
    {
        m_opening
            = open(nullptr).eagerlyEvaluate([this](kj::Exception&&) { m_relay->reset(RefusalReason::TrunkLost); });
        return m_relay->whenDone();
    }

    /// Asks the agent to end the stream after the answer in progress, since this balancer leaves.
    void leave()
    {
        KJ_IF_MAYBE (id, m_member) {
            const flow::Member* member = m_traffic.m_map->membership().member(*id);
            if (!member)
                return;
            m_leaving = m_traffic.m_pool.connect(*member)
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

    // Asks `target`, or the owner of the flow's bucket, to take the stream.
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
            fill(request.initStream(), id);
            return request.send();
        });
        return m_traffic.m_loop.timer()
            .timeoutAfter(openTimeout, kj::mv(opening))
            .then([this, id](auto response) { return opened(id, response); },
                [this](kj::Exception&&) { return retry(); });
    }

    void fill(schema::OpenStream::Builder builder, std::uint32_t member)
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

    template <typename Response> kj::Promise<void> opened(std::uint32_t member, Response& response)
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
        const bool passing = reason == RefusalReason::UnknownMember || reason == RefusalReason::OwnerChanging;
        if (passing && m_member == nullptr)
            return retry(); // the agent or this balancer is about to learn of a newer revision
        return refuse(reason);
    }

    // An accepted stream lives at its agent only; one that is not yet accepted asks the present owner.
    kj::Promise<void> retry()
    {
        if (++m_attempts > maximumOpenAttempts)
            return refuse(RefusalReason::TrunkLost);
        m_routing = {};
        return m_traffic.m_loop.timer().afterDelay(openRetryDelay).then([this] { return open(m_member); });
    }

    kj::Promise<void> refuse(RefusalReason reason)
    {
        m_traffic.refused(reason);
        m_relay->reset(reason);
        return kj::READY_NOW;
    }

    BalancerTraffic& m_traffic;
    const std::uint64_t m_id;
    const flow::FlowKey m_key;
    kj::Own<net::StreamRelay> m_relay;
    kj::Maybe<std::uint32_t> m_member; // once accepted
    flow::Routing m_routing; // what the last redirect said
    int m_attempts = 0;
    kj::Promise<void> m_opening = nullptr;
    kj::Promise<void> m_leaving = nullptr;
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
    KJ_REQUIRE(m_trunk != nullptr, "no trunk socket");
    m_trunkObserver = kj::heap<kj::UnixEventPort::FdObserver>(
        loop.eventPort(), m_trunk->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    loop.spawn(takeTrunk());
}

BalancerTraffic::~BalancerTraffic() = default;

void BalancerTraffic::setMembership(flow::MembershipPointer membership)
{
    m_map = std::make_unique<flow::BucketMap>(std::move(membership), m_map.get());
    for (const auto& service : m_map->membership().services) {
        const auto found = m_entrances.find(service.id);
        if (service.withdrawn) {
            withdrawEntrance(service);
            continue;
        }
        if (found != m_entrances.end() && found->second->address != entranceAddress(service))
            m_entrances.erase(found);
        if (!m_entrances.contains(service.id) && !m_draining)
            openEntrance(service);
    }
    m_pool.keepOnly(m_map->membership());
}

void BalancerTraffic::drain()
{
    m_draining = true;
    for (auto& [id, entrance] : m_entrances) {
        if (!entrance->streams)
            continue;
        entrance->task = nullptr;
        entrance->streams = nullptr;
    }
    for (auto& [id, stream] : m_streams)
        stream->leave();
}

net::Address BalancerTraffic::entranceAddress(const flow::ServiceSpec& service) const
{
    if (m_settings.listenHost.empty())
        return service.address;
    return *net::Address::parseHost(m_settings.listenHost, service.address.port);
}

// Streams live on without what accepted them; datagrams of open flows still arrive at the service's address.
void BalancerTraffic::withdrawEntrance(const flow::ServiceSpec& service)
{
    const auto found = m_entrances.find(service.id);
    if (found == m_entrances.end() || found->second->closing)
        return;
    if (!found->second->datagrams) {
        m_entrances.erase(found);
        return;
    }
    found->second->closing = true;
    const auto period = static_cast<std::int64_t>(service.withdrawSeconds) * kj::SECONDS;
    m_loop.spawn(m_loop.timer().afterDelay(period).then([this, id = service.id] { m_entrances.erase(id); }));
}

// Another service may take the address of a withdrawn one before that one's period is over.
void BalancerTraffic::releaseAddress(const net::Address& address)
{
    std::erase_if(m_entrances,
        [&address](const auto& entry) { return entry.second->closing && entry.second->address == address; });
}

void BalancerTraffic::openEntrance(const flow::ServiceSpec& service)
{
    releaseAddress(entranceAddress(service));
    auto entrance = std::make_unique<Entrance>();
    entrance->address = entranceAddress(service);
    const auto failure = kj::runCatchingExceptions([&] {
        if (service.protocol == flow::Protocol::Datagram) {
            entrance->datagrams = net::DatagramSocket::bound(entrance->address, true);
            KJ_REQUIRE(entrance->datagrams != nullptr, "cannot bind");
            entrance->observer = kj::heap<kj::UnixEventPort::FdObserver>(
                m_loop.eventPort(), entrance->datagrams->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
            entrance->task = takeCallers(service.id, *entrance).eagerlyEvaluate(nullptr);
        } else {
            sockaddr_storage socket {};
            const socklen_t length = entrance->address.toSocket(socket);
            entrance->streams = m_loop.network().getSockaddr(&socket, length)->listen();
            entrance->task = acceptStreams(service.id, *entrance).eagerlyEvaluate([](kj::Exception&& exception) {
                observe::log(
                    observe::Level::Error, "accept-failed", { { "reason", exception.getDescription().cStr() } });
            });
        }
    });
    if (failure == nullptr) {
        m_entrances.emplace(service.id, std::move(entrance));
        return;
    }
    m_counters.counter("entrances_refused_total") += 1;
    observe::log(observe::Level::Error, "service-address-unavailable",
        { { "service", service.name }, { "address", entrance->address.text() } });
}

kj::Promise<void> BalancerTraffic::takeCallers(std::uint32_t service, Entrance& entrance)
{
    while (entrance.datagrams->receive([&](const net::Address& caller, net::Bytes payload) {
        fromCaller(service, caller, payload);
    }) > 0)
        m_trunk->flush();
    return entrance.observer->whenBecomesReadable().then(
        [this, service, &entrance] { return takeCallers(service, entrance); });
}

void BalancerTraffic::fromCaller(std::uint32_t service, const net::Address& caller, net::Bytes payload)
{
    m_datagramsIn.fetch_add(1, std::memory_order_relaxed);
    const flow::FlowKey key { caller, service };
    const flow::Member* target = m_map->membership().member(m_hints.holderOf(key));
    if (!target || target->state == flow::MemberState::Lost)
        target = m_map->ownerOf(key);
    if (!target) {
        refused(RefusalReason::NoMember);
        return;
    }
    net::TrunkDatagram datagram;
    datagram.member = target->id;
    datagram.revision = m_map->revision();
    datagram.key = key;
    datagram.payload = payload;
    const net::Bytes encoded = m_buffer.encode(datagram);
    if (!encoded.empty())
        m_trunk->queue(target->trunk, encoded);
}

kj::Promise<void> BalancerTraffic::takeTrunk()
{
    while (m_trunk->receive([this](const net::Address&, net::Bytes bytes) {
        if (const auto datagram = net::decodeTrunkDatagram(bytes))
            fromAgent(*datagram);
    }) > 0) {
        for (auto& [id, entrance] : m_entrances) {
            if (entrance->datagrams)
                entrance->datagrams->flush();
        }
    }
    return m_trunkObserver->whenBecomesReadable().then([this] { return takeTrunk(); });
}

void BalancerTraffic::fromAgent(const net::TrunkDatagram& datagram)
{
    if (datagram.kind == net::DatagramKind::Refusal) {
        m_hints.forget(datagram.key);
        refused(datagram.reason);
        return;
    }
    const auto found = m_entrances.find(datagram.key.service);
    if (found == m_entrances.end() || !found->second->datagrams) {
        refused(RefusalReason::UnknownService);
        return;
    }
    m_hints.learn(datagram.key, datagram.member);
    m_datagramsOut.fetch_add(1, std::memory_order_relaxed);
    found->second->datagrams->queue(datagram.key.caller, datagram.payload);
}

kj::Promise<void> BalancerTraffic::acceptStreams(std::uint32_t service, Entrance& entrance)
{
    return entrance.streams->accept().then([this, service, &entrance](auto stream) {
        startStream(service, kj::mv(stream));
        return acceptStreams(service, entrance);
    });
}

void BalancerTraffic::startStream(std::uint32_t service, kj::Own<kj::AsyncIoStream> caller)
{
    if (m_streams.size() >= m_settings.maximumStreams) {
        refused(RefusalReason::TableFull);
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

void BalancerTraffic::refused(RefusalReason reason)
{
    m_counters.counter("flows_refused_total", "reason", kernel::nameOf(reason)) += 1;
}

} // namespace yuccahook::roles
