#pragma once

#include "flow/AgentDirectory.h"
#include "flow/FlowLocators.h"
#include "flow/FlowSearch.h"
#include "flow/HomeRegions.h"
#include "flow/LinkScheduler.h"
#include "flow/PacketOutput.h"
#include "flow/PauseDetector.h"
#include "flow/PlacementCache.h"
#include "flow/PlacementExplanation.h"
#include "flow/RouteDemand.h"
#include "flow/StartupPacketBuffer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace yuccahook::flow {

/// What a balancer is told by its settings.
struct PacketBalancerOptions {
    std::uint64_t linkBytesPerSecond = 0; ///< Capacity of the instance's link; 0 if it is not known.
    HomeRegions homes {}; ///< The regions of the failure domains.
    bool detectsOutliers = false; ///< Places new flows at outliers last.
};

/// Forwards callers' packets to agents. Has no state that a flow depends on, so any other balancer can forward the
/// flow's next packet. Has no sockets and no clock; not thread-safe.
class PacketBalancer {
public:
    PacketBalancer(std::string domain, std::uint64_t seed, const PacketCodec& codec, PacketOutput& output,
        PacketBalancerOptions options = {});

    void setMembership(MembershipPointer membership, std::uint64_t nowMillis);

    /// Handles a packet of a caller.
    void receiveFromCaller(PacketBytes packet, std::uint64_t nowMillis);

    /// Handles a datagram of the agent with trunk address `source`.
    void receiveFromAgent(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);

    /// Call every `tickMillis`. `stalenessMillis` is the time since the last contact with a control instance.
    void tick(std::uint64_t nowMillis, std::uint64_t stalenessMillis);

    static constexpr std::uint64_t tickMillis = 100;

    /// Sends the packets for which the link has room by now. Call every `LinkScheduler::intervalMillis` while packets
    /// wait for the link.
    void advanceLink(std::uint64_t nowMillis) { m_link.advance(nowMillis); }

    /// Number of packets that wait for the link.
    std::size_t waitingForLink() const { return m_link.waiting(); }
    /// Explains where a new flow from `caller` to a route's address would go now. Without a caller, of all services of
    /// the route.
    PlacementExplanation explainPlacement(
        const PacketEndpoint& address, const std::optional<PacketEndpoint>& caller, std::uint64_t nowMillis);

    /// Number of recently used flows whose agents are cached.
    std::size_t cachedFlows() const { return m_cache.size(); }

    /// Number of agents whose backend servers are judged to be outliers.
    std::size_t outliers() const { return m_agents.outliers(); }

    /// Number of flows that are being searched for.
    std::size_t searches() const { return m_search.size(); }

private:
    static constexpr std::uint64_t routeFreshnessMillis = 1500;

    // `waitedMillis` is set only for a packet from the startup buffer.
    void handleOpening(PacketBytes packet, const PacketHeader& header, std::optional<std::uint64_t> waitedMillis,
        std::uint64_t nowMillis);
    void handleCallerPacket(PacketBytes packet, std::optional<std::uint64_t> waitedMillis, std::uint64_t nowMillis);
    void handleDeclined(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);
    std::vector<ExplainedCandidate> explainCandidates(
        std::uint32_t service, const PacketRoute& route, std::uint64_t nowMillis);
    bool isStarting(std::uint64_t nowMillis) const;
    /// With a contact this recent, a route that is missing does not exist. Spans several polls of control instances.
    bool hasRecentRoutes() const { return m_stalenessMillis <= routeFreshnessMillis; }
    void releaseStartupPackets(std::uint64_t nowMillis);
    void handleReturned(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);
    void handleHolder(const PacketEndpoint& source, PacketBytes datagram);
    void handleReply(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);
    void askLocator(const PacketFlow& flow, std::uint64_t nowMillis);
    std::uint32_t locatableService(const PacketFlow& flow) const;
    void searchFlow(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void continueSearches(std::uint64_t nowMillis);
    void forwardFound(const PacketEndpoint& agent, const std::vector<std::vector<std::uint8_t>>& packets);
    void sendToAgent(PacketBytes packet, const PacketHeader& header, PacketEnvelope envelope, FlowReason reason,
        std::uint64_t nowMillis);
    bool isHome(const PacketFlow& flow, std::uint32_t tag, const AgentDirectory::Agent& agent) const;
    std::uint32_t serviceOf(const PacketRoute& route, const PacketFlow& flow) const;
    void refuse(const PacketHeader& header, bool suppressReset, FlowReason reason);
    bool linkCanCarry(const PacketRoute& route) const;
    void countLongMessage(const PacketHeader& header);
    void recordDecision(
        FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer = {});

    const std::uint32_t m_domain;
    const PacketCodec& m_codec;
    LinkScheduler m_link;
    PacketOutput& m_output; // m_link
    RouteDemand m_demand;
    const HomeRegions m_homes;
    MembershipPointer m_membership;
    AgentDirectory m_agents;
    PlacementCache m_cache;
    FlowSearch m_search;
    FlowLocators m_locators;
    PauseDetector m_pauseDetector;
    StartupPacketBuffer m_startupPackets; // packets that arrive before the first routes and loads are known
    std::uint64_t m_stalenessMillis = 0;
    std::uint64_t m_lastAgingMillis = 0;
    std::uint64_t m_lastSubscribeMillis = 0;
    std::uint64_t m_firstRoutesMillis = 0; // when the first routes arrived; 0 before
};

} // namespace yuccahook::flow
