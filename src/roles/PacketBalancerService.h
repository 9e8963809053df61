#pragma once

#include "control/ControlClient.h"
#include "flow/PacketBalancer.h"
#include "kernel/Service.h"
#include "net/PacketLoop.h"
#include "observe/Counters.h"
#include "roles/FlowDecisionLog.h"
#include "settings/Settings.h"

#include <atomic>
#include <memory>
#include <optional>

namespace yuccahook::roles {

/// Forwards the packets of packet services at a balancer, on a thread of its own.
class PacketBalancerService final : public kernel::Service, private flow::PacketOutput {
public:
    static constexpr std::string_view serviceName = "balancer";

    PacketBalancerService(const settings::Settings& settings, control::ControlClient& client,
        const flow::PacketCodec& codec, observe::Counters& counters);
    ~PacketBalancerService() override;

    std::string_view name() const override { return serviceName; }
    std::vector<std::string_view> dependencies() const override { return { control::ControlClient::serviceName }; }
    bool start() override;
    void drain() override;
    bool drained() const override;
    void stop() override { m_loop.stop(); }

    /// Explains where a new flow would go. Callable from any thread; returns nothing if the loop takes too long.
    std::optional<flow::PlacementExplanation> explainPlacement(
        const flow::PacketEndpoint& route, const std::optional<flow::PacketEndpoint>& caller);

private:
    void tick(std::uint64_t nowMillis);
    void scheduleLink();
    void sendToTrunk(const flow::PacketEndpoint& trunk, flow::PacketBytes datagram) override;
    void sendToCaller(std::uint32_t host, flow::PacketBytes packet) override;
    void sendToBackend(flow::PacketBytes) override { }
    void recordDecision(const flow::FlowDecision& decision) override;

    const settings::BalancerPacketSettings m_settings;
    control::ControlClient& m_client;
    observe::Counter& m_packets;
    observe::Counter& m_cachedPlacements;
    observe::Counter& m_searches;
    observe::Counter& m_waitingForLink;
    observe::Counter& m_outliers;
    FlowDecisionLog m_log;
    flow::PacketBalancer m_core; // loop thread only
    net::PacketLoop m_loop;
    std::uint64_t m_lastTickMillis = 0; // loop thread only, as the next
    std::uint64_t m_tickInterval = flow::PacketBalancer::tickMillis;
    net::DatagramSocket* m_callers = nullptr;
    net::DatagramSocket* m_trunk = nullptr;
    std::atomic<std::uint64_t> m_drainStartMillis = 0; // PacketLoop::nowMillis; 0 before a drain
};

} // namespace yuccahook::roles
