#pragma once

#include "control/ControlClient.h"
#include "kernel/Service.h"
#include "net/EventLoopThread.h"
#include "net/OperatorServer.h"
#include "observe/Counters.h"
#include "settings/Settings.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>

namespace yuccahook::roles {

class AgentTraffic;

/// Serves the flows and requests of one backend server, which reports to this agent over HTTP at /announce.
class Agent final : public kernel::Service {
public:
    static constexpr std::string_view serviceName = "agent";

    /// Adds the route /announce to `operatorServer`.
    Agent(const settings::Settings& settings, control::ControlClient& client, net::OperatorServer& operatorServer,
        observe::Counters& counters);
    ~Agent() override;

    std::string_view name() const override { return serviceName; }
    std::vector<std::string_view> dependencies() const override { return { control::ControlClient::serviceName }; }
    bool start() override;
    void drain() override;
    bool drained() const override;
    void stop() override;

    /// Streams and datagram flows that are open at this agent; from any thread.
    std::uint64_t openFlows() const { return m_openFlows; }

private:
    net::HttpResponse handleAnnouncement(const net::HttpRequest& request);
    void postToTraffic(std::function<void(AgentTraffic&)> work);

    const settings::Settings m_settings;
    control::ControlClient& m_client;
    observe::Counters& m_counters;
    std::atomic<std::uint64_t> m_openFlows = 0;
    std::mutex m_mutex;
    std::optional<control::Announcement> m_announcement; // guarded by m_mutex
    std::atomic<std::int64_t> m_drainStartMillis = 0; // steady clock; 0 before a drain
    net::EventLoopThread m_thread;
    std::unique_ptr<AgentTraffic> m_traffic; // traffic thread only
};

} // namespace yuccahook::roles
