#include "roles/PacketAgentService.h"

#include "observe/Log.h"

#include <future>
#include <nlohmann/json.hpp>
#include <random>

namespace yuccahook::roles {

namespace {

constexpr auto reportTimeout = std::chrono::milliseconds(800); // backend servers wait 1 s for the response
constexpr std::uint64_t minimumDrainMillis = 1000; // lets the announcement reach the balancers

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

PacketAgentService::PacketAgentService(const settings::Settings& settings, control::ControlClient& client,
    const flow::PacketCodec& codec, observe::Counters& counters)
    : m_settings(settings)
    , m_packetSettings(*settings.agent->packets)
    , m_client(client)
    , m_packets(counters.counter("packets_total"))
    , m_openFlows(counters.counter("packet_flows_open"))
    , m_openingMillis(counters, "packet_opening_millis")
    , m_requestMillis(counters, "packet_request_millis")
    , m_log(counters)
    , m_core(settings.domain, flow::PacketEndpoint::of(m_packetSettings.listen), std::random_device {}(),
          { m_packetSettings.announceMillis, m_packetSettings.reuseMillis, m_packetSettings.maximumFlowMillis,
              m_packetSettings.outliers == settings::OutlierDetection::On, m_packetSettings.backend },
          codec, *this, net::PacketLoop::nowMillis(), flow::HomeRegions(settings.regions))
    , m_loop("agent-packets")
{
    client.onMembership([this](const flow::MembershipPointer& membership) {
        m_loop.post([this, membership] { m_core.setMembership(membership, net::PacketLoop::nowMillis()); });
    });
}

PacketAgentService::~PacketAgentService() { m_loop.stop(); }

bool PacketAgentService::start()
{
    m_trunk = m_loop.openSocket(m_packetSettings.listen, [this](const net::Address& source, net::Bytes datagram) {
        m_packets += 1;
        m_core.receiveFromTrunk(flow::PacketEndpoint::of(source), datagram, net::PacketLoop::nowMillis());
    });
    m_outbound = m_loop.openSocket(m_packetSettings.outbound, [this](const net::Address&, net::Bytes packet) {
        m_packets += 1;
        m_core.receiveFromBackend(packet, net::PacketLoop::nowMillis());
    });
    m_loop.onTick(flow::PacketAgent::tickMillis, [this] {
        m_core.tick(net::PacketLoop::nowMillis());
        m_openFlows = m_core.flows();
        m_busy = m_core.busy();
        if (m_core.hasEnded())
            leave();
    });
    return m_trunk && m_outbound && m_loop.start();
}

void PacketAgentService::drain()
{
    m_drainStartMillis = net::PacketLoop::nowMillis();
    m_loop.post([this] { m_core.drain(net::PacketLoop::nowMillis()); });
    const std::lock_guard lock(m_mutex);
    if (!m_announcement)
        return;
    m_announcement->draining = true;
    m_client.announce(*m_announcement);
}

bool PacketAgentService::drained() const
{
    const std::uint64_t elapsedMillis = net::PacketLoop::nowMillis() - m_drainStartMillis;
    const std::uint64_t limitMillis = std::uint64_t { m_settings.agent->leaveSeconds } * 1000;
    return elapsedMillis >= limitMillis || (elapsedMillis >= minimumDrainMillis && m_busy == 0);
}

template <typename Result> Result PacketAgentService::runOnLoop(std::function<Result()> work, Result fallback)
{
    auto done = std::make_shared<std::promise<Result>>();
    auto result = done->get_future();
    m_loop.post([work = std::move(work), done] { done->set_value(work()); });
    return result.wait_for(reportTimeout) == std::future_status::ready ? result.get() : fallback;
}

flow::ReportStatus PacketAgentService::handleReport(const flow::BackendReport& report)
{
    const auto status = runOnLoop<flow::ReportStatus>(
        [this, report] { return m_core.handleReport(report, net::PacketLoop::nowMillis()); },
        flow::ReportStatus::Stale);
    const bool tookEffect = status == flow::ReportStatus::Renewed || status == flow::ReportStatus::NewIncarnation;
    if (!tookEffect)
        return status;
    announce(report, status == flow::ReportStatus::NewIncarnation);
    return status;
}

void PacketAgentService::announce(const flow::BackendReport& report, bool isNewIncarnation)
{
    const std::lock_guard lock(m_mutex);
    const bool draining = report.draining || m_drainStartMillis != 0;
    const bool unchanged = m_announcement && !isNewIncarnation && m_announcement->draining == draining
        && m_announcement->slots == report.slots && m_announcement->service == report.service;
    if (unchanged)
        return;
    control::Announcement announcement;
    announcement.agent = m_settings.name;
    announcement.incarnation = m_announcement && !isNewIncarnation ? m_announcement->incarnation : newIncarnation();
    announcement.service = report.service;
    announcement.trunk = m_packetSettings.listen;
    announcement.domain = m_settings.domain;
    announcement.slots = report.slots;
    announcement.draining = draining;
    m_announcement = announcement;
    m_client.announce(announcement);
    observe::log(observe::Level::Info, "backend-reported",
        { { "id", report.id }, { "started", report.startedMillis }, { "sequence", report.sequence },
            { "service", report.service }, { "slots", report.slots }, { "draining", report.draining },
            { "isNew", isNewIncarnation } });
}

// Tells control instances that the backend server has ended, so that they remove the agent without waiting for its
// lease.
void PacketAgentService::leave()
{
    const std::lock_guard lock(m_mutex);
    if (!m_announcement || m_announcement->left)
        return;
    m_announcement->left = true;
    m_client.announce(*m_announcement);
    observe::log(observe::Level::Info, "leaving", { { "service", m_announcement->service } });
}

bool PacketAgentService::handleDeparture(const std::string& id, std::uint64_t startedMillis)
{
    const bool left = runOnLoop<bool>(
        [this, id, startedMillis] { return m_core.handleDeparture(id, startedMillis, net::PacketLoop::nowMillis()); },
        false);
    observe::log(observe::Level::Info, "backend-left", { { "id", id }, { "taken", left } });
    const std::lock_guard lock(m_mutex);
    if (left && m_announcement) {
        m_announcement->draining = true;
        m_client.announce(*m_announcement);
    }
    return left;
}

void PacketAgentService::sendToTrunk(const flow::PacketEndpoint& trunk, flow::PacketBytes datagram)
{
    m_trunk->queue(trunk.address(), datagram);
}

void PacketAgentService::sendToCaller(std::uint32_t host, flow::PacketBytes packet)
{
    m_trunk->queue(flow::PacketEndpoint { host, m_packetSettings.listen.port }.address(), packet);
}

void PacketAgentService::sendToBackend(flow::PacketBytes packet)
{
    m_outbound->queue(m_packetSettings.backend, packet);
}

void PacketAgentService::recordLatency(flow::LatencyKind timing, std::uint64_t millis)
{
    (timing == flow::LatencyKind::Opening ? m_openingMillis : m_requestMillis).add(millis);
}

void PacketAgentService::recordDecision(const flow::FlowDecision& decision)
{
    m_log.record(decision, net::PacketLoop::nowMillis());
}

} // namespace yuccahook::roles
