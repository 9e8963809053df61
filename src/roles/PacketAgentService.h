#pragma once

#include "control/ControlClient.h"
#include "flow/PacketAgent.h"
#include "kernel/Service.h"
#include "net/PacketLoop.h"
#include "observe/Counters.h"
#include "observe/Histogram.h"
#include "roles/FlowDecisionLog.h"
#include "settings/Settings.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

namespace yuccahook::roles {

/// Serves the flows of a backend server of a packet service, on a thread of its own.
class PacketAgentService final : public kernel::Service, private flow::PacketOutput {
public:
    static constexpr std::string_view serviceName = "agent";

    PacketAgentService(const settings::Settings& settings, control::ControlClient& client,
        const flow::PacketCodec& codec, observe::Counters& counters);
    ~PacketAgentService() override;

    std::string_view name() const override { return serviceName; }
    std::vector<std::string_view> dependencies() const override { return { control::ControlClient::serviceName }; }
    bool start() override;
    void drain() override;
    bool drained() const override;
    void stop() override { m_loop.stop(); }

    /// Applies a report of the backend server and announces changes to the control instances. Callable from any
    /// thread; waits until the report is applied. Returns `Stale` also when that takes longer than 800 ms.
    flow::ReportStatus handleReport(const flow::BackendReport& report);

    /// Handles the departure of the backend server; from any thread. Returns false when another incarnation of the
    /// server is registered here, or after 800 ms without a result.
    bool handleDeparture(const std::string& id, std::uint64_t startedMillis);

private:
    template <typename Result> Result runOnLoop(std::function<Result()> work, Result fallback);
    void leave();
    void announce(const flow::BackendReport& report, bool isNewIncarnation);
    void sendToTrunk(const flow::PacketEndpoint& trunk, flow::PacketBytes datagram) override;
    void sendToCaller(std::uint32_t host, flow::PacketBytes packet) override;
    void sendToBackend(flow::PacketBytes packet) override;
    void recordDecision(const flow::FlowDecision& decision) override;
    void recordLatency(flow::LatencyKind timing, std::uint64_t millis) override;

    const settings::Settings m_settings;
    const settings::AgentPacketSettings m_packetSettings;
    control::ControlClient& m_client;
    observe::Counter& m_packets;
    observe::Counter& m_openFlows;
    observe::Histogram m_openingMillis;
    observe::Histogram m_requestMillis;
    FlowDecisionLog m_log;
    flow::PacketAgent m_core; // loop thread only
    net::PacketLoop m_loop;
    net::DatagramSocket* m_trunk = nullptr;
    net::DatagramSocket* m_outbound = nullptr;
    std::mutex m_mutex;
    std::optional<control::Announcement> m_announcement; // guarded by m_mutex
    std::atomic<std::uint32_t> m_busy = 0;
    std::atomic<std::uint64_t> m_drainStartMillis = 0; // PacketLoop::nowMillis; 0 before a drain
};

} // namespace yuccahook::roles
