#include "roles/Process.h"

#include "control/ControlClient.h"
#include "control/ControlNode.h"
#include "kernel/Kernel.h"
#include "net/OperatorServer.h"
#include "observe/Counters.h"
#include "observe/Log.h"
#include "roles/Agent.h"
#include "roles/AgentPackets.h"
#include "roles/Balancer.h"
#include "roles/BalancerPackets.h"
#include "roles/ExitCode.h"

#include <csignal>
#include <ctime>
#include <filesystem>
#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

constexpr timespec drainCheckInterval { 0, 50'000'000 };
constexpr timespec settingsCheckInterval { 1, 0 }; // the file may change without a signal

/// A process and the parts that a reload and the adapter reach.
struct Process {
    kernel::Kernel kernel;
    net::OperatorServer* routes = nullptr;
    control::ControlNode* control = nullptr;
    control::ControlClient* client = nullptr;
    AgentPackets* agent = nullptr;
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

void addTraffic(
    Process& process, const settings::Settings& settings, observe::Counters& counters, const Adapter* adapter)
{
    process.client = &addTo<control::ControlClient>(process.kernel, settings.name, settings.control);
    control::ControlClient& client = *process.client;
    if (!settings.balancer)
        client.followAnnouncedServiceOnly();
    net::OperatorServer& routes = *process.routes;
    client.onMembership([&routes](const flow::MembershipPointer&) { routes.setReady(true); });
    routes.addStatus("revision", [&client] { return client.membership()->revision; });
    routes.addStatus("stalenessMillis", [&client] { return client.stalenessMillis(); });
    if (settings.balancer && settings.balancer->packets)
        addTo<BalancerPackets>(process.kernel, settings, client, adapter->packets(), counters);
    else if (settings.balancer)
        addTo<Balancer>(process.kernel, *settings.balancer, client, counters);
    if (settings.agent && settings.agent->packets)
        process.agent = &addTo<AgentPackets>(process.kernel, settings, client, adapter->packets(), counters);
    else if (settings.agent)
        addTo<Agent>(process.kernel, settings, client, routes, counters);
}

void addServices(
    Process& process, const settings::Settings& settings, observe::Counters& counters, const Adapter* adapter)
{
    auto server = std::make_unique<net::OperatorServer>(
        std::vector { settings.operatorAddress, settings.healthAddress }, counters);
    process.routes = server.get();
    if (settings.controlInstance)
        process.control = &addTo<control::ControlNode>(process.kernel, *settings.controlInstance, *server, counters);
    if (settings.balancer || settings.agent)
        addTraffic(process, settings, counters, adapter);
    else
        server->setReady(true);
    server->addStatus("name", [name = settings.name] { return name; });
    server->addStatus("version", [] { return YUCCAHOOK_VERSION; });
    if (adapter)
        adapter->addRoutes({ *server, process.control, process.agent });
    process.kernel.add(std::move(server));
}

// Waits for the drain to end or a second signal.
void waitForDrain(const kernel::Kernel& kernel, const sigset_t& signals)
{
    while (!kernel.drained()) {
        if (sigtimedwait(&signals, nullptr, &drainCheckInterval) > 0) {
            observe::log(observe::Level::Warn, "stop-hastened");
            return;
        }
    }
}

std::filesystem::file_time_type modified(const std::string& path)
{
    std::error_code ignored; // a missing file shows when it is read
    return std::filesystem::last_write_time(path, ignored);
}

// Takes the control addresses from the changed file; the other settings last as long as the process.
void reload(const Process& process, const std::string& path, settings::Role role)
{
    settings::Faults faults;
    const auto settings = settings::loadSettings(path, role, faults);
    if (!settings) {
        observe::log(observe::Level::Error, "settings-refused", { { "fault", settings::describe(faults.front()) } });
        return;
    }
    if (process.client)
        process.client->addControlAddresses(settings->control);
    if (process.control)
        process.control->addDiscoveryPeers(settings->control);
    auto addresses = nlohmann::json::array();
    for (const auto& address : settings->control)
        addresses.push_back(address.text());
    observe::log(observe::Level::Info, "settings-reloaded", { { "control", addresses } });
}

// Returns the signal that ends the process.
int waitForStop(const Process& process, const std::string& path, settings::Role role)
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    auto seen = modified(path);
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &settingsCheckInterval);
        if (signal > 0 && signal != SIGHUP)
            return signal;
        const auto now = modified(path);
        if (signal != SIGHUP && now == seen)
            continue;
        seen = now;
        reload(process, path, role);
    }
}

bool usesPackets(const settings::Settings& settings)
{
    return (settings.balancer && settings.balancer->packets) || (settings.agent && settings.agent->packets);
}

} // namespace

int runProcess(const settings::Settings& settings, settings::Role role, const std::string& path, const Adapter* adapter)
{
    observe::setUpLog(settings.name, kernel::nameOf(settings.logLevel));
    if (usesPackets(settings) && !adapter) {
        observe::log(observe::Level::Error, "start-failed", { { "error", "no packet format in this build" } });
        return static_cast<int>(ExitCode::Failed);
    }
    const sigset_t signals = stopSignals();
    sigset_t blocked = signals;
    sigaddset(&blocked, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr); // before any thread starts, so that none takes them
    std::signal(SIGPIPE, SIG_IGN);
    observe::Counters counters;
    Process process;
    addServices(process, settings, counters, adapter);
    if (!process.kernel.start()) {
        const auto& fault = *process.kernel.lastFault();
        observe::log(observe::Level::Error, "start-failed",
            { { "service", fault.service }, { "error", kernel::nameOf(fault.error) } });
        return static_cast<int>(ExitCode::Failed);
    }
    observe::log(observe::Level::Info, "started", { { "role", kernel::nameOf(role) } });
    const int signal = waitForStop(process, path, role);
    observe::log(observe::Level::Info, "draining", { { "signal", signal } });
    process.kernel.drain();
    waitForDrain(process.kernel, signals);
    process.kernel.stop();
    observe::log(observe::Level::Info, "stopped");
    return static_cast<int>(ExitCode::Success);
}

} // namespace yuccahook::roles
