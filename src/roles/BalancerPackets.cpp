#include "roles/BalancerPackets.h"

#include <random>

namespace yuccahook::roles {

namespace {

// Routers take a balancer out after two missed checks half a second apart; its packets are carried until then.
constexpr std::uint64_t rotationMillis = 1600;

} // namespace

BalancerPackets::BalancerPackets(const settings::Settings& settings, control::ControlClient& client,
    const flow::PacketCodec& codec, observe::Counters& counters)
    : m_settings(*settings.balancer->packets)
    , m_client(client)
    , m_packets(counters.counter("packets_total"))
    , m_cached(counters.counter("packet_placements"))
    , m_log(counters)
    , m_core(settings.domain, std::random_device {}(), codec, *this)
    , m_loop("balancer-packets")
{
    client.onMembership([this](const flow::MembershipPointer& membership) {
        m_loop.post([this, membership] { m_core.setMembership(membership, net::PacketLoop::nowMillis()); });
    });
}

BalancerPackets::~BalancerPackets() { m_loop.stop(); }

bool BalancerPackets::start()
{
    m_callers = m_loop.open(m_settings.listen, [this](const net::Address&, net::Bytes packet) {
        m_packets += 1;
        m_core.receiveFromCaller(packet, net::PacketLoop::nowMillis());
    });
    m_trunk = m_loop.open(m_settings.trunk, [this](const net::Address& source, net::Bytes datagram) {
        m_core.receiveFromAgent(flow::PacketEndpoint::of(source), datagram, net::PacketLoop::nowMillis());
    });
    m_loop.onTick(flow::PacketBalancer::tickMillis, [this] {
        m_core.tick(net::PacketLoop::nowMillis(), m_client.stalenessMillis());
        m_cached = m_core.cachedFlows();
    });
    return m_callers && m_trunk && m_loop.start();
}

void BalancerPackets::drain() { m_drainBegan = net::PacketLoop::nowMillis(); }

bool BalancerPackets::drained() const { return net::PacketLoop::nowMillis() - m_drainBegan >= rotationMillis; }

void BalancerPackets::sendToTrunk(const flow::PacketEndpoint& trunk, flow::PacketBytes datagram)
{
    m_trunk->queue(trunk.address(), datagram);
}

void BalancerPackets::sendToCaller(std::uint32_t host, flow::PacketBytes packet)
{
    m_callers->queue(flow::PacketEndpoint { host, m_settings.listen.port }.address(), packet);
}

void BalancerPackets::recordDecision(const flow::FlowDecision& decision)
{
    m_log.note(decision, net::PacketLoop::nowMillis());
}

} // namespace yuccahook::roles
