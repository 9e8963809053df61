#pragma once

#include "control/ControlClient.h"
#include "flow/PacketAgent.h"
#include "kernel/Service.h"
#include "net/PacketLoop.h"
#include "observe/Counters.h"
#include "observe/Histogram.h"
#include "roles/FlowLog.h"
#include "settings/Settings.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

namespace yuccahook::roles {

/// Serves the flows of a backend server that takes packets, on a thread of its own.
class AgentPackets final : public kernel::Service, private flow::PacketOutput {
public:
    static constexpr std::string_view serviceName = "agent";

    AgentPackets(const settings::Settings& settings, control::ControlClient& client, const flow::PacketCodec& codec,
        observe::Counters& counters);
    ~AgentPackets() override;

    std::string_view name() const override { return serviceName; }
    std::vector<std::string_view> dependencies() const override { return { control::ControlClient::serviceName }; }
    bool start() override;
    void drain() override;
    bool drained() const override;
    void stop() override { m_loop.stop(); }

    /// What the backend server says of itself; from any thread. Answered once it is in force.
    flow::ReportStatus handleReport(const flow::BackendReport& report);

    /// The backend server says that it is gone; false when another incarnation is here.
    bool handleDeparture(const std::string& id, std::uint64_t startedMillis);

private:
    template <typename Result> Result onLoop(std::function<Result()> work, Result otherwise);
    void announce(const flow::BackendReport& report, bool isNew);
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
    FlowLog m_log;
    flow::PacketAgent m_core; // loop thread only
    net::PacketLoop m_loop;
    net::DatagramSocket* m_trunk = nullptr;
    net::DatagramSocket* m_outbound = nullptr;
    std::mutex m_mutex;
    std::optional<control::Announcement> m_announcement; // guarded by m_mutex
    std::atomic<std::uint32_t> m_busy = 0;
    std::atomic<std::uint64_t> m_drainBegan = 0; // milliseconds; 0 before a drain
};

} // namespace yuccahook::roles
