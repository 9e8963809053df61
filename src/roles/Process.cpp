#include "roles/Process.h"

#include "control/ControlClient.h"
#include "control/ControlNode.h"
#include "control/EvacuationLog.h"
#include "kernel/Kernel.h"
#include "net/OperatorServer.h"
#include "observe/Counters.h"
#include "observe/Log.h"
#include "roles/Agent.h"
#include "roles/Balancer.h"
#include "roles/ExitCode.h"
#include "roles/PacketAgentService.h"
#include "roles/PacketBalancerService.h"
#include "roles/PlaceCommand.h"

#include <csignal>
#include <ctime>
#include <filesystem>
#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

constexpr timespec drainCheckInterval { 0, 50'000'000 };
constexpr timespec settingsCheckInterval { 1, 0 }; // the file may change without SIGHUP

/// The kernel services of a process, with pointers to those that a reload and the adapter use.
struct ProcessServices {
    kernel::Kernel kernel;
    net::OperatorServer* operatorServer = nullptr;
    control::ControlNode* controlNode = nullptr;
    control::ControlClient* controlClient = nullptr;
    PacketAgentService* packetAgent = nullptr;
};

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

template <typename Type, typename... Arguments> Type& addTo(kernel::Kernel& kernel, Arguments&&... arguments)
{
    auto created = std::make_unique<Type>(std::forward<Arguments>(arguments)...);
    Type& service = *created;
    kernel.add(std::move(created));
    return service;
}

void addPacketBalancer(
    ProcessServices& services, const settings::Settings& settings, observe::Counters& counters, const Adapter& adapter)
{
    auto& balancer
        = addTo<PacketBalancerService>(services.kernel, settings, *services.controlClient, adapter.packets(), counters);
    services.operatorServer->addRoute("/place", [&balancer](const net::HttpRequest& request) {
        return handlePlace(request,
            [&balancer](const auto& route, const auto& caller) { return balancer.explainPlacement(route, caller); });
    });
}

void addTraffic(
    ProcessServices& services, const settings::Settings& settings, observe::Counters& counters, const Adapter* adapter)
{
    services.controlClient = &addTo<control::ControlClient>(services.kernel, settings.name, settings.control);
    control::ControlClient& client = *services.controlClient;
    if (!settings.balancer)
        client.followAnnouncedServiceOnly();
    net::OperatorServer& operatorServer = *services.operatorServer;
    client.onMembership([&operatorServer](const flow::MembershipPointer&) { operatorServer.setReady(true); });
    operatorServer.addStatus("revision", [&client] { return client.membership()->revision; });
    client.onMembership(
        [log = std::make_shared<control::EvacuationLog>(
             settings.balancer ? PacketBalancerService::serviceName : PacketAgentService::serviceName, counters),
            &ownDomain = counters.counter("domain_evacuated"),
            domain = settings.domain](const flow::MembershipPointer& membership) {
            log->update(*membership);
            ownDomain = membership->isEvacuated(domain) ? 1 : 0;
        });
    operatorServer.addStatus("evacuated", [&client] { return client.membership()->evacuated; });
    operatorServer.addStatus("stalenessMillis", [&client] { return client.stalenessMillis(); });
    if (settings.balancer && settings.balancer->packets)
        addPacketBalancer(services, settings, counters, *adapter);
    else if (settings.balancer)
        addTo<Balancer>(services.kernel, *settings.balancer, client, counters);
    if (settings.agent && settings.agent->packets)
        services.packetAgent
            = &addTo<PacketAgentService>(services.kernel, settings, client, adapter->packets(), counters);
    else if (settings.agent)
        addTo<Agent>(services.kernel, settings, client, operatorServer, counters);
}

void addServices(
    ProcessServices& services, const settings::Settings& settings, observe::Counters& counters, const Adapter* adapter)
{
    auto server = std::make_unique<net::OperatorServer>(
        std::vector { settings.operatorAddress, settings.healthAddress }, counters);
    services.operatorServer = server.get();
    if (settings.controlInstance)
        services.controlNode
            = &addTo<control::ControlNode>(services.kernel, *settings.controlInstance, *server, counters);
    if (settings.balancer || settings.agent)
        addTraffic(services, settings, counters, adapter);
    else
        server->setReady(true);
    server->addStatus("name", [name = settings.name] { return name; });
    server->addStatus("version", [] { return YUCCAHOOK_VERSION; });
    if (adapter)
        adapter->addRoutes({ *server, services.controlNode, services.packetAgent });
    services.kernel.add(std::move(server));
}

// Waits until the drain ends or a second signal arrives.
void waitForDrain(const kernel::Kernel& kernel, const sigset_t& signals)
{
    while (!kernel.drained()) {
        if (sigtimedwait(&signals, nullptr, &drainCheckInterval) > 0) {
            observe::log(observe::Level::Warn, "stop-hastened");
            return;
        }
    }
}

std::filesystem::file_time_type modificationTime(const std::string& path)
{
    std::error_code ignored; // a missing file is reported when it is read
    return std::filesystem::last_write_time(path, ignored);
}

// Adds the control addresses of the changed file. The other settings stay in use until the process stops.
void reloadControlAddresses(const ProcessServices& services, const std::string& path, settings::Role role)
{
    settings::Faults faults;
    const auto settings = settings::loadSettings(path, role, faults);
    if (!settings) {
        observe::log(observe::Level::Error, "settings-refused", { { "fault", settings::describe(faults.front()) } });
        return;
    }
    if (services.controlClient)
        services.controlClient->addControlAddresses(settings->control);
    if (services.controlNode)
        services.controlNode->addDiscoveryPeers(settings->control);
    auto addresses = nlohmann::json::array();
    for (const auto& address : settings->control)
        addresses.push_back(address.text());
    observe::log(observe::Level::Info, "settings-reloaded", { { "control", addresses } });
}

// Waits for SIGTERM or SIGINT, reloading the control addresses meanwhile, and returns the signal.
int waitForStop(const ProcessServices& services, const std::string& path, settings::Role role)
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    auto lastModified = modificationTime(path);
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &settingsCheckInterval);
        if (signal > 0 && signal != SIGHUP)
            return signal;
        const auto modified = modificationTime(path);
        if (signal != SIGHUP && modified == lastModified)
            continue;
        lastModified = modified;
        reloadControlAddresses(services, path, role);
    }
}

bool servesPackets(const settings::Settings& settings)
{
    return (settings.balancer && settings.balancer->packets) || (settings.agent && settings.agent->packets);
}

} // namespace

int runProcess(const settings::Settings& settings, settings::Role role, const std::string& path, const Adapter* adapter)
{
    observe::setUpLog(settings.name, kernel::nameOf(settings.logLevel));
    if (servesPackets(settings) && !adapter) {
        observe::log(observe::Level::Error, "start-failed", { { "error", "no packet format in this build" } });
        return static_cast<int>(ExitCode::Failed);
    }
    const sigset_t signals = stopSignals();
    sigset_t blocked = signals;
    sigaddset(&blocked, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr); // before any thread starts, so that no thread receives them
    std::signal(SIGPIPE, SIG_IGN);
    observe::Counters counters;
    ProcessServices services;
    addServices(services, settings, counters, adapter);
    if (!services.kernel.start()) {
        const auto& fault = *services.kernel.lastFault();
        observe::log(observe::Level::Error, "start-failed",
            { { "service", fault.service }, { "error", kernel::nameOf(fault.error) } });
        return static_cast<int>(ExitCode::Failed);
    }
    observe::log(observe::Level::Info, "started", { { "role", kernel::nameOf(role) } });
    const int signal = waitForStop(services, path, role);
    observe::log(observe::Level::Info, "draining", { { "signal", signal } });
    services.kernel.drain();
    waitForDrain(services.kernel, signals);
    services.kernel.stop();
    observe::log(observe::Level::Info, "stopped");
    return static_cast<int>(ExitCode::Success);
}

} // namespace yuccahook::roles
