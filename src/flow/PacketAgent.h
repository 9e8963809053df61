#pragma once

#include "flow/AgentDirectory.h"
#include "flow/Backend.h"
#include "flow/HeldPackets.h"
#include "flow/OpeningQueue.h"
#include "flow/PacketFlowTable.h"
#include "flow/PacketOutput.h"
#include "flow/PauseDetector.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace yuccahook::flow {

/// Limits of an agent for packet flows.
struct PacketAgentLimits {
    std::uint32_t announceMillis = 1200; ///< How often the backend server reports.
    std::uint32_t reuseMillis = 2000; ///< Its address may belong to another service this long after it is gone.
    std::uint32_t maximumFlowMillis = 60'000; ///< A flow that is older may be forgotten.
};

/// The truth about the flows of one backend server: takes or passes on new ones by its load, and carries the others.
class PacketAgent {
public:
    /// `trunk` is this agent's own address.
    PacketAgent(std::string domain, PacketEndpoint trunk, std::uint64_t seed, PacketAgentLimits limits,
        const PacketCodec& codec, PacketOutput& output, std::uint64_t nowMillis);

    void setMembership(MembershipPointer membership, std::uint64_t nowMillis);

    /// What the backend server says of itself.
    ReportStatus handleReport(const BackendReport& report, std::uint64_t nowMillis);
    bool handleDeparture(const std::string& id, std::uint64_t startedMillis, std::uint64_t nowMillis);

    void receiveFromTrunk(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);
    void receiveFromBackend(PacketBytes packet, std::uint64_t nowMillis);

    /// Call every `tickMillis`.
    void tick(std::uint64_t nowMillis);

    /// Takes no new flows from now on.
    void drain(std::uint64_t nowMillis);

    static constexpr std::uint64_t tickMillis = 20;

    std::uint32_t busy() const { return m_flows.busy(); }
    std::size_t flows() const { return m_flows.size(); }

private:
    /// How long an unanswered or refused opening packet keeps new flows away.
    static constexpr std::uint64_t silentMillis = 300;

    struct Subscriber {
        bool isLocal = false;
        std::uint64_t heardMillis = 0;
        std::uint64_t toldMillis = 0;
        AgentLoad told;
    };

    // New flows.
    void takeOpening(PacketEnvelope envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void accept(const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow, std::uint64_t nowMillis);
    bool passOn(PacketEnvelope envelope, PacketBytes packet, const PacketFlow& flow, FlowReason reason,
        const AgentDirectory::Agent* peer);
    void refuse(const PacketEnvelope& envelope, const PacketHeader& header, FlowReason reason, std::uint64_t nowMillis);
    void passOnOrRefuse(const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header,
        FlowReason reason, std::uint64_t nowMillis);
    void passOnUnanswered(std::uint64_t nowMillis);
    std::uint64_t reservationMillis() const;
    void endReservations(std::uint64_t nowMillis);
    bool isStarting(std::uint64_t nowMillis) const;
    void releaseHeld(std::uint64_t nowMillis);
    std::optional<FlowReason> obstacle(std::uint32_t service, std::uint64_t nowMillis) const;

    // Waiting for a slot.
    bool hasRoom() const;
    std::uint32_t takenAhead() const;
    double workMillis(std::uint32_t goalMillis) const;
    bool waitForSlot(const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow,
        std::uint64_t nowMillis, bool stays = false);
    bool isShort(std::uint8_t priority, std::uint64_t nowMillis) const;
    void noteShort(std::uint8_t priority, std::uint64_t nowMillis);
    void serveWaiting(std::uint64_t nowMillis);
    void shareWaiting(std::uint64_t nowMillis);
    void endWaiting(std::uint64_t nowMillis);
    const AgentDirectory::Agent* nextPeer(const PacketEnvelope& envelope, std::uint64_t nowMillis);

    // Flows under way.
    void takeUnderWay(
        const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void takeUnknown(
        const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow, std::uint64_t nowMillis);
    void deliver(PacketFlowEntry& entry, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void searchPeers(const PacketEndpoint& origin, PacketBytes packet, const PacketFlow& flow);
    void endFlow(const PacketFlow& flow, std::uint32_t sequence, FlowReason reason);

    // From the backend server.
    void takeBounced(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void noteAnswer(const PacketHeader& header, std::uint64_t nowMillis);

    // Load.
    AgentLoad load(std::uint64_t nowMillis) const;
    void tellLoad(std::uint64_t nowMillis);
    void noteSubscriber(const PacketEndpoint& source, std::uint32_t domain, std::uint64_t nowMillis);
    void expire(std::uint64_t nowMillis);
    void decide(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer = {},
        std::uint64_t inputAgeMillis = 0);

    const std::uint32_t m_domain;
    const PacketEndpoint m_trunk;
    const PacketAgentLimits m_limits;
    const PacketCodec& m_codec;
    PacketOutput& m_output;
    const std::uint64_t m_startMillis;
    MembershipPointer m_membership;
    std::uint32_t m_member = 0; // 0 before it has joined
    AgentDirectory m_peers;
    Backend m_backend;
    PacketFlowTable m_flows;
    HeldPackets m_held; // opening packets, until the backend server and the membership are known
    std::unordered_set<PacketFlow> m_notHere; // flows that the backend server gave back
    OpeningQueue m_waiting;
    std::uint64_t m_shortMillis = 0; // when one was last refused because others wait
    std::uint8_t m_shortPriority = 0; // of the most urgent that was
    std::deque<std::pair<std::uint64_t, PacketFlow>> m_offered; // by deadline
    std::deque<std::pair<std::uint64_t, PacketFlow>> m_reserved; // the same, for the slots that they hold
    PauseDetector m_pauses;
    std::unordered_map<PacketEndpoint, Subscriber> m_subscribers; // by trunk
    std::uint64_t m_silentUntilMillis = 0;
    std::uint64_t m_expiredMillis = 0;
    std::uint64_t m_subscribedMillis = 0;
    double m_reachMillis = 0; // from an accepted opening packet to the request
    double m_workMillis = 0; // of a request that had a slot at once; 0 before it is known
    double m_workSum = 0; // of the requests since the last step
    std::uint32_t m_workSamples = 0;
    bool m_draining = false;
};

} // namespace yuccahook::flow
