#pragma once

#include "flow/AgentDirectory.h"
#include "flow/Backend.h"
#include "flow/BackendMeter.h"
#include "flow/ColdLimiter.h"
#include "flow/FlowLocator.h"
#include "flow/FlowLocators.h"
#include "flow/HomeRegions.h"
#include "flow/LeastCostOrder.h"
#include "flow/OpeningQueue.h"
#include "flow/OverloadRecord.h"
#include "flow/PacketFlowTable.h"
#include "flow/PacketOutput.h"
#include "flow/PauseDetector.h"
#include "flow/RunningRequests.h"
#include "flow/StartupPacketBuffer.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace yuccahook::flow {

/// Limits of an agent for packet flows.
struct PacketAgentLimits {
    std::uint32_t announceMillis = 1200; ///< Interval of the backend server's reports.
    std::uint32_t reuseMillis = 2000; ///< A departed backend server's address may go to another service after this.
    std::uint32_t maximumFlowMillis = 60'000; ///< Longest lifetime of a flow; one that is idle for longer is forgotten.
    bool detectsOutliers = false; ///< Reports the service time, and forwards new flows to outliers last.
    net::Address backend {}; ///< Where the backend server listens; reports of other addresses are refused if it is set.
};

/// The authority on the flows of one backend server. Accepts, queues, forwards or refuses new flows according to the
/// backend server's load, and delivers the packets of existing ones. Has no sockets and no clock; not thread-safe.
class PacketAgent {
public:
    /// `trunk` is this agent's own trunk address.
    PacketAgent(std::string domain, PacketEndpoint trunk, std::uint64_t seed, PacketAgentLimits limits,
        const PacketCodec& codec, PacketOutput& output, std::uint64_t nowMillis, HomeRegions homes = HomeRegions());

    void setMembership(MembershipPointer membership, std::uint64_t nowMillis);

    /// Handles a report of the backend server. One that names another address, or a service that is not configured, has
    /// no effect, as no backend server of this agent has sent it.
    ReportStatus handleReport(const BackendReport& report, std::uint64_t nowMillis);

    /// Handles the departure of a backend server. Returns false if another incarnation is known.
    bool handleDeparture(const std::string& id, std::uint64_t startedMillis, std::uint64_t nowMillis);

    /// Handles a datagram of a balancer or another agent.
    void receiveFromTrunk(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);

    /// Handles a packet that the backend server sent or returned.
    void receiveFromBackend(PacketBytes packet, std::uint64_t nowMillis);

    /// Call every `tickMillis`.
    void tick(std::uint64_t nowMillis);

    /// Accepts no new flows from now on.
    void drain(std::uint64_t nowMillis);

    static constexpr std::uint64_t tickMillis = 20;

    /// Number of flows that use a slot of the backend server or have one reserved.
    std::uint32_t busy() const { return m_flows.busy(); }

    /// Whether the backend server has departed and its flows have ended.
    bool hasEnded() const { return m_backendEnded; }

    /// Number of flows known here, half-open and finished ones included.
    std::size_t flows() const { return m_flows.size(); }

private:
    /// How long the backend server gets no new flows after it left an opening packet unanswered or returned it.
    static constexpr std::uint64_t backoffMillis = 300;

    struct Subscriber {
        bool isLocal = false;
        std::uint64_t renewedMillis = 0;
        std::uint64_t sentMillis = 0;
        AgentLoad sentLoad;
    };

    // Reports of the backend server.
    std::optional<ReportStatus> refusalOf(const BackendReport& report) const;
    void confirmBackend();

    // New flows.
    void handleOpening(
        PacketEnvelope envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void accept(const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow, std::uint64_t nowMillis);
    bool forwardToPeer(PacketEnvelope envelope, PacketBytes packet, const PacketFlow& flow, FlowReason reason,
        const AgentDirectory::Agent* peer);
    void refuse(const PacketEnvelope& envelope, const PacketHeader& header, FlowReason reason, std::uint64_t nowMillis,
        const PacketFlow& preferred = {});
    void forwardOrRefuse(const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header,
        FlowReason reason, std::uint64_t nowMillis);
    void forwardOffered(PacketFlowEntry& entry, PacketEnvelope envelope, PacketBytes packet, const PacketHeader& header,
        std::uint64_t nowMillis);
    void forwardUnanswered(std::uint64_t nowMillis);
    std::uint64_t reservationMillis() const;
    void expireReservations(std::uint64_t nowMillis);
    bool isStarting(std::uint64_t nowMillis) const;
    void releaseStartupPackets(std::uint64_t nowMillis);
    std::optional<FlowReason> refusalReason(std::uint32_t service, std::uint64_t nowMillis) const;
    std::optional<FlowReason> refusalReason(const PacketEnvelope& envelope, std::uint64_t nowMillis) const;

    // Waiting for a slot.
    bool canAccept(std::uint64_t nowMillis) const;
    FlowReason waitReason(std::uint64_t nowMillis) const;
    void updateColdLimit(const Membership& before, std::uint64_t nowMillis);
    std::size_t coldBusy(std::uint64_t nowMillis) const;
    bool mayStart(const RequestClass& kind) const;
    double usableSlots(std::uint64_t nowMillis) const;
    std::uint32_t overcommittedSlots() const;
    double expectedServiceTimeMillis(std::uint32_t goalMillis) const;
    bool waitForSlot(const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow,
        std::uint64_t nowMillis, bool refusalTooLate = false);
    bool usesLeastCost() const { return m_membership->overload == OverloadPolicy::LeastCost; }
    double meanWorkMillis(const RequestClass& kind) const;
    double predictedWaitMillis(const WaitingOpening& opening, std::uint64_t nowMillis) const;
    void displaceWaiting(const PacketFlow& preferred, std::uint64_t nowMillis);
    bool forwardByPressure(const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow,
        FlowReason reason, std::uint64_t nowMillis);
    void turnAway(const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, FlowReason reason,
        std::uint64_t nowMillis, const PacketFlow& preferred = {});
    void acceptWaiting(std::uint64_t nowMillis);
    void forwardWaiting(std::uint64_t nowMillis);
    void expireWaiting(std::uint64_t nowMillis);
    const AgentDirectory::Agent* choosePeer(const PacketEnvelope& envelope, std::uint64_t nowMillis);

    // Packets of existing flows.
    void handleExisting(
        const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void handleUnknownFlow(
        const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);

    // Flows of other agents, for balancers that do not know them.
    void handleLocate(const PacketEndpoint& source, const EnvelopedPacket& located, const PacketHeader& header,
        std::uint64_t nowMillis);
    void handleRegister(const PacketEndpoint& source, PacketBytes datagram);
    void handleHolder(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);
    void notifyHolder(
        const PacketFlow& flow, const PacketEndpoint& balancer, const PacketEndpoint& locator, std::uint64_t nowMillis);
    void sendLocated(std::uint64_t nowMillis);
    void registerFlows(std::uint64_t nowMillis);

    void startRequest(PacketFlowEntry& entry, const PacketHeader& header, std::uint64_t nowMillis);
    void deliver(PacketFlowEntry& entry, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void returnToBalancer(const PacketEndpoint& balancer, PacketBytes packet, const PacketFlow& flow);
    bool backendMayHold(const PacketFlow& flow, std::uint64_t nowMillis) const;
    FlowHolding holdingOf(const QueriedFlow& queried, std::uint64_t nowMillis);
    void handleQuery(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);
    void endFlows(std::uint64_t incarnation, FlowReason reason);
    void keepFlowsAfterRestart(std::uint64_t incarnation);
    void endFlowsAfterDeparture(std::uint64_t nowMillis);
    void resetFlow(const PacketFlow& flow, std::uint32_t sequence, FlowReason reason);

    // Packets from the backend server.
    void handleBounced(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void startWork(const PacketFlow& flow, std::uint64_t nowMillis);
    void recordWork(const PacketFlow& flow, std::uint64_t nowMillis);
    void recordBackendPacket(const PacketHeader& header, std::uint64_t nowMillis);

    // Load reports and timeouts.
    AgentLoad load(std::uint64_t nowMillis) const;
    double waitingPerSlot(const AgentLoad& load) const;
    void sendLoad(std::uint64_t nowMillis);
    void addSubscriber(const PacketEndpoint& source, std::uint32_t domain, std::uint64_t nowMillis);
    void expire(std::uint64_t nowMillis);
    FlowDecision decisionOf(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer,
        std::uint64_t inputAgeMillis) const;
    void recordDecision(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer = {},
        std::uint64_t inputAgeMillis = 0);

    const std::string m_domainName;
    const std::uint32_t m_domain; // its hash
    const HomeRegions m_homes;
    const PacketEndpoint m_trunk;
    const PacketAgentLimits m_limits;
    const PacketCodec& m_codec;
    PacketOutput& m_output;
    const std::uint64_t m_startMillis;
    MembershipPointer m_membership;
    bool m_isEvacuated = false; // whether this agent's failure domain is
    std::uint32_t m_member = 0; // this agent's id; 0 before it has joined
    AgentDirectory m_peers;
    Backend m_backend;
    bool m_isBackendConfirmed = false; // whether its service was found to be configured
    ColdLimiter m_cold;
    BackendMeter m_meter; // not used unless outliers are detected
    PacketFlowTable m_flows;
    FlowLocators m_locators;
    FlowLocator m_locator;
    std::uint64_t m_lastRegisterMillis = 0;
    StartupPacketBuffer m_startupPackets; // opening packets, until the backend server and the membership are known
    std::unordered_set<PacketFlow> m_returnedFlows; // flows of which the backend server returned a probe
    OpeningQueue m_waiting;
    OverloadRecord m_overload;
    LeastCostOrder m_leastCost; // as all that follows, used with OverloadPolicy::LeastCost only
    RunningRequests m_running;
    std::deque<std::pair<std::uint64_t, PacketFlow>> m_answerDeadlines; // offered flows, by the deadline of the answer
    std::deque<std::pair<std::uint64_t, PacketFlow>> m_reservations; // flows with a reserved slot, by its end
    PauseDetector m_pauseDetector;
    std::unordered_map<PacketEndpoint, Subscriber> m_subscribers; // by trunk
    std::uint64_t m_backoffUntilMillis = 0;
    std::uint64_t m_departureMillis = 0; // last packet or departure of a backend server that has departed; 0 if none
    bool m_backendEnded = false; // the backend server has departed, and its flows were reset
    // When the backend server has first returned a packet of an open flow since it last reported; 0 if it has not. Its
    // present incarnation has ended then, and what it accepts afterwards belongs to the next one.
    std::uint64_t m_restartMillis = 0;
    std::uint64_t m_lastExpireMillis = 0;
    std::uint64_t m_lastSubscribeMillis = 0;
    double m_openingToRequestMillis = 0; // mean time from an accepted opening packet to the flow's request
    double m_serviceTimeMillis = 0; // mean service time of requests that had a slot at once; 0 before known
    double m_serviceTimeSumMillis = 0; // of the requests since the mean was last updated
    std::uint32_t m_serviceTimeSamples = 0;
    bool m_draining = false;
};

} // namespace yuccahook::flow
