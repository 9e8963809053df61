#pragma once

#include "flow/AgentDirectory.h"
#include "flow/HeldPackets.h"
#include "flow/PacketOutput.h"
#include "flow/PauseDetector.h"
#include "flow/PlacementCache.h"

#include <cstdint>
#include <optional>
#include <string>

namespace yuccahook::flow {

/// Sends callers' packets to agents. Holds nothing that a flow needs: any other balancer can take its next packet.
class PacketBalancer {
public:
    PacketBalancer(std::string domain, std::uint64_t seed, const PacketCodec& codec, PacketOutput& output);

    void setMembership(MembershipPointer membership, std::uint64_t nowMillis);

    void receiveFromCaller(PacketBytes packet, std::uint64_t nowMillis);
    void receiveFromAgent(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);

    /// Call every `tickMillis`, with the time since a control instance was heard.
    void tick(std::uint64_t nowMillis, std::uint64_t stalenessMillis);

    static constexpr std::uint64_t tickMillis = 100;

    std::size_t cachedFlows() const { return m_cache.size(); }

private:
    // `waitedMillis` is set for a packet that was held here.
    void takeOpening(PacketBytes packet, const PacketHeader& header, std::optional<std::uint64_t> waitedMillis,
        std::uint64_t nowMillis);
    void take(PacketBytes packet, std::optional<std::uint64_t> waitedMillis, std::uint64_t nowMillis);
    void takeDeclined(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis);
    bool isStarting(std::uint64_t nowMillis) const;
    void releaseHeld(std::uint64_t nowMillis);
    void search(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis);
    void send(PacketBytes packet, const PacketHeader& header, PacketEnvelope envelope, FlowReason reason,
        std::uint64_t nowMillis);
    std::uint32_t serviceOf(const PacketRoute& route, const PacketFlow& flow) const;
    void refuse(const PacketHeader& header, bool quiet, FlowReason reason);
    void note(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer = {});

    const std::uint32_t m_domain;
    const PacketCodec& m_codec;
    PacketOutput& m_output;
    MembershipPointer m_membership;
    AgentDirectory m_agents;
    PlacementCache m_cache;
    PauseDetector m_pauses;
    HeldPackets m_held; // until the first routes and loads are known
    std::uint64_t m_stalenessMillis = 0;
    std::uint64_t m_agedMillis = 0;
    std::uint64_t m_subscribedMillis = 0;
    std::uint64_t m_routesMillis = 0; // when the first routes came; 0 before
};

} // namespace yuccahook::flow
