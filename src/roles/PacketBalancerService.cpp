#include "roles/PacketBalancerService.h"

#include <chrono>
#include <future>
#include <random>
#include <utility>

namespace yuccahook::roles {

namespace {

// Routers stop sending to a balancer after two failed health checks half a second apart; it forwards until then.
constexpr std::uint64_t routerRemovalMillis = 1600;
constexpr auto explanationTimeout = std::chrono::milliseconds(800); // as for reports of backend servers
constexpr std::uint64_t bytesPerMegabit = 125'000;

flow::PacketBalancerOptions optionsOf(const settings::Settings& settings)
{
    flow::PacketBalancerOptions options;
    options.linkBytesPerSecond
        = static_cast<std::uint64_t>(settings.balancer->packets->linkMegabitsPerSecond * bytesPerMegabit);
    options.homes = flow::HomeRegions(settings.regions);
    options.detectsOutliers = settings.balancer->packets->outliers == settings::OutlierDetection::On;
    return options;
}

} // namespace

PacketBalancerService::PacketBalancerService(const settings::Settings& settings, control::ControlClient& client,
    const flow::PacketCodec& codec, observe::Counters& counters)
    : m_settings(*settings.balancer->packets)
    , m_client(client)
    , m_packets(counters.counter("packets_total"))
    , m_cachedPlacements(counters.counter("packet_placements"))
    , m_searches(counters.counter("packet_searches"))
    , m_waitingForLink(counters.counter("packets_waiting_for_link"))
    , m_outliers(counters.counter("packet_outliers"))
    , m_log(counters)
    , m_core(settings.domain, std::random_device {}(), codec, *this, optionsOf(settings))
    , m_loop("balancer-packets")
{
    client.onMembership([this](const flow::MembershipPointer& membership) {
        m_loop.post([this, membership] { m_core.setMembership(membership, net::PacketLoop::nowMillis()); });
    });
}

PacketBalancerService::~PacketBalancerService() { m_loop.stop(); }

bool PacketBalancerService::start()
{
    m_callers = m_loop.openSocket(m_settings.listen, [this](const net::Address&, net::Bytes packet) {
        m_packets += 1;
        m_core.receiveFromCaller(packet, net::PacketLoop::nowMillis());
        scheduleLink();
    });
    m_trunk = m_loop.openSocket(m_settings.trunk, [this](const net::Address& source, net::Bytes datagram) {
        m_core.receiveFromAgent(flow::PacketEndpoint::of(source), datagram, net::PacketLoop::nowMillis());
    });
    m_loop.onTick(flow::PacketBalancer::tickMillis, [this] { tick(net::PacketLoop::nowMillis()); });
    return m_callers && m_trunk && m_loop.start();
}

void PacketBalancerService::tick(std::uint64_t nowMillis)
{
    m_core.advanceLink(nowMillis);
    if (nowMillis - m_lastTickMillis >= flow::PacketBalancer::tickMillis) {
        m_lastTickMillis = nowMillis;
        m_core.tick(nowMillis, m_client.stalenessMillis());
        m_cachedPlacements = m_core.cachedFlows();
        m_searches = m_core.searches();
        m_waitingForLink = m_core.waitingForLink();
        m_outliers = m_core.outliers();
    }
    scheduleLink();
}

// Packets that wait for the link need a shorter interval than the balancer's other work.
void PacketBalancerService::scheduleLink()
{
    const std::uint64_t interval
        = m_core.waitingForLink() > 0 ? flow::LinkScheduler::intervalMillis : flow::PacketBalancer::tickMillis;
    if (std::exchange(m_tickInterval, interval) != interval)
        m_loop.setTickMillis(interval);
}

void PacketBalancerService::drain() { m_drainStartMillis = net::PacketLoop::nowMillis(); }

bool PacketBalancerService::drained() const
{
    return net::PacketLoop::nowMillis() - m_drainStartMillis >= routerRemovalMillis;
}

std::optional<flow::PlacementExplanation> PacketBalancerService::explainPlacement(
    const flow::PacketEndpoint& route, const std::optional<flow::PacketEndpoint>& caller)
{
    auto done = std::make_shared<std::promise<flow::PlacementExplanation>>();
    auto result = done->get_future();
    m_loop.post([this, route, caller, done] {
        done->set_value(m_core.explainPlacement(route, caller, net::PacketLoop::nowMillis()));
    });
    if (result.wait_for(explanationTimeout) != std::future_status::ready)
        return std::nullopt;
    return result.get();
}

void PacketBalancerService::sendToTrunk(const flow::PacketEndpoint& trunk, flow::PacketBytes datagram)
{
    m_trunk->queue(trunk.address(), datagram);
}

void PacketBalancerService::sendToCaller(std::uint32_t host, flow::PacketBytes packet)
{
    m_callers->queue(flow::PacketEndpoint { host, m_settings.listen.port }.address(), packet);
}

void PacketBalancerService::recordDecision(const flow::FlowDecision& decision)
{
    m_log.record(decision, net::PacketLoop::nowMillis());
}

} // namespace yuccahook::roles
