#pragma once

#include "control/ControlClient.h"
#include "flow/BucketMap.h"
#include "kernel/Service.h"
#include "net/EventLoopThread.h"
#include "observe/Counters.h"
#include "settings/Settings.h"

#include <atomic>
#include <memory>
#include <vector>

namespace yuccahook::roles {

class BalancerTraffic;

/// Accepts callers' traffic on the services' addresses and forwards it to the agents. Keeps no state that cannot be
/// rebuilt.
class Balancer final : public kernel::Service {
public:
    static constexpr std::string_view serviceName = "balancer";

    Balancer(const settings::BalancerSettings& settings, control::ControlClient& client, observe::Counters& counters);
    ~Balancer() override;

    std::string_view name() const override { return serviceName; }
    std::vector<std::string_view> dependencies() const override { return { control::ControlClient::serviceName }; }
    bool start() override;
    void drain() override;
    bool drained() const override;
    void stop() override;

    /// Streams that are open on all threads; from any thread.
    std::uint64_t openStreams() const { return m_openStreams; }

private:
    const settings::BalancerSettings m_settings;
    observe::Counters& m_counters;
    std::atomic<std::uint64_t> m_openStreams = 0;

    struct Thread;
    std::vector<std::unique_ptr<Thread>> m_threads;
};

} // namespace yuccahook::roles
