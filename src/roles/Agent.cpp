#include "roles/Agent.h"

#include "roles/AgentTraffic.h"
#include "settings/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

constexpr std::size_t queueBound = 1024;
constexpr std::uint64_t maximumSlots = 10'000;
constexpr std::uint64_t maximumConnections = 1'000'000;
constexpr std::uint64_t maximumWeight = 10'000;

std::int64_t steadyNowMillis()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// The time of day in microseconds, so that a later start has a higher incarnation.
std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

Agent::Agent(const settings::Settings& settings, control::ControlClient& client, net::OperatorServer& operatorServer,
    observe::Counters& counters)
    : m_settings(settings)
    , m_client(client)
    , m_counters(counters)
    , m_thread("agent-traffic", queueBound)
{
    operatorServer.addRoute(
        "/announce", [this](const net::HttpRequest& request) { return handleAnnouncement(request); });
    client.onMembership([this](const flow::MembershipPointer& membership) {
        postToTraffic([membership](AgentTraffic& traffic) { traffic.setMembership(membership); });
    });
}

Agent::~Agent() { stop(); }

bool Agent::start()
{
    return m_thread.start(
        [this](net::EventLoop& loop) {
            m_traffic
                = std::make_unique<AgentTraffic>(m_settings.name, *m_settings.agent, loop, m_counters, m_openFlows);
        },
        [this] { m_traffic.reset(); });
}

void Agent::drain()
{
    m_drainStartMillis = steadyNowMillis();
    postToTraffic([](AgentTraffic& traffic) { traffic.drain(); });
    const std::lock_guard lock(m_mutex);
    if (!m_announcement)
        return;
    m_announcement->draining = true;
    m_client.announce(*m_announcement);
}

bool Agent::drained() const
{
    const std::int64_t limitMillis = std::int64_t { m_settings.agent->leaveSeconds } * 1000;
    return m_openFlows == 0 || steadyNowMillis() - m_drainStartMillis >= limitMillis;
}

void Agent::stop() { m_thread.stop(); }

net::HttpResponse Agent::handleAnnouncement(const net::HttpRequest& request)
{
    settings::Faults faults;
    const auto document = settings::parseJson(request.body, faults);
    control::Announcement announcement;
    net::Address backend;
    if (document) {
        settings::ObjectReader reader(*document, "", faults);
        reader.text("service", announcement.service, true);
        reader.address("address", backend, true);
        reader.integer("slots", announcement.slots, 1, maximumSlots);
        reader.integer("connections", announcement.connections, 1, maximumConnections);
        reader.integer("weight", announcement.weight, 1, maximumWeight);
        reader.flag("draining", announcement.draining);
        reader.reportUnknownKeys();
    }
    if (!faults.empty()) {
        auto list = nlohmann::json::array();
        for (const auto& fault : faults)
            list.push_back(settings::describe(fault));
        return { 422, "application/json", nlohmann::json { { "faults", list } }.dump() };
    }
    announcement.agent = m_settings.name;
    const auto& agent = *m_settings.agent;
    announcement.trunk = agent.announcedTrunk.isSet() ? agent.announcedTrunk : agent.trunk;
    announcement.domain = m_settings.domain;
    const std::lock_guard lock(m_mutex);
    const bool sameServer = m_announcement && m_announcement->service == announcement.service;
    announcement.incarnation = sameServer ? m_announcement->incarnation : newIncarnation();
    announcement.draining = announcement.draining || m_drainStartMillis != 0;
    m_announcement = announcement;
    postToTraffic([backend, slots = announcement.slots, incarnation = announcement.incarnation,
                      draining = announcement.draining](AgentTraffic& traffic) {
        traffic.setIncarnation(incarnation);
        traffic.setBackend(backend);
        traffic.setSlots(slots);
        if (draining)
            traffic.drain();
    });
    m_client.announce(announcement);
    return { 200, "application/json", R"({"status":"announced"})" };
}

void Agent::postToTraffic(std::function<void(AgentTraffic&)> work)
{
    m_thread.post([this, work = std::move(work)](net::EventLoop&) {
        if (m_traffic)
            work(*m_traffic);
    });
}

} // namespace yuccahook::roles
