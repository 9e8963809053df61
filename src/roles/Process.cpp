#include "roles/Process.h"

#include "control/ControlClient.h"
#include "control/ControlNode.h"
#include "kernel/Kernel.h"
#include "net/OperatorServer.h"
#include "observe/Counters.h"
#include "observe/Log.h"
#include "roles/Agent.h"
#include "roles/Balancer.h"
#include "roles/ExitCode.h"

#include <csignal>
#include <ctime>
#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

constexpr timespec drainCheckInterval { 0, 50'000'000 };

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void addServices(kernel::Kernel& kernel, const settings::Settings& settings, observe::Counters& counters)
{
    auto operatorServer = std::make_unique<net::OperatorServer>(settings.operatorAddress, counters);
    net::OperatorServer& routes = *operatorServer;
    if (settings.controlInstance)
        kernel.add(std::make_unique<control::ControlNode>(*settings.controlInstance, routes, counters));
    if (settings.balancer || settings.agent) {
        auto created = std::make_unique<control::ControlClient>(settings.name, settings.control);
        control::ControlClient& client = *created;
        if (!settings.balancer)
            client.followAnnouncedOnly();
        kernel.add(std::move(created));
        client.onMembership([&routes](const flow::MembershipPointer&) { routes.setReady(true); });
        routes.addStatus("revision", [&client] { return client.membership()->revision; });
        routes.addStatus("stalenessMillis", [&client] { return client.stalenessMillis(); });
        if (settings.balancer)
            kernel.add(std::make_unique<Balancer>(*settings.balancer, client, counters));
        if (settings.agent)
            kernel.add(std::make_unique<Agent>(settings, client, routes, counters));
    } else {
        routes.setReady(true);
    }
    routes.addStatus("name", [name = settings.name] { return name; });
    routes.addStatus("version", [] { return YUCCAHOOK_VERSION; });
    kernel.add(std::move(operatorServer));
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

} // namespace

int runProcess(const settings::Settings& settings, settings::Role role)
{
    observe::setUpLog(settings.name, kernel::nameOf(settings.logLevel));
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr); // before any thread starts, so that none takes them
    std::signal(SIGPIPE, SIG_IGN);
    observe::Counters counters;
    kernel::Kernel kernel;
    addServices(kernel, settings, counters);
    if (!kernel.start()) {
        const auto& fault = *kernel.lastFault();
        observe::log(observe::Level::Error, "start-failed",
            { { "service", fault.service }, { "error", kernel::nameOf(fault.error) } });
        return static_cast<int>(ExitCode::Failed);
    }
    observe::log(observe::Level::Info, "started", { { "role", kernel::nameOf(role) } });
    int signal = 0;
    sigwait(&signals, &signal);
    observe::log(observe::Level::Info, "draining", { { "signal", signal } });
    kernel.drain();
    waitForDrain(kernel, signals);
    kernel.stop();
    observe::log(observe::Level::Info, "stopped");
    return static_cast<int>(ExitCode::Success);
}

} // namespace yuccahook::roles
