#pragma once

#include "flow/PacketCodec.h"
#include "flow/PacketFlowTable.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yuccahook::flow {

/// Finds the holders of flows for balancers that do not know them: by a registration, else by asking all agents of the
/// service once, however many balancers ask. What it knows are hints: a holder that does not confirm a hint within
/// `confirmMillis` costs a fan-out. Proves nothing about flows that no agent holds.
///
/// Has no clock and sends nothing itself; not thread-safe.
class FlowLocator {
public:
    static constexpr std::uint64_t windowMillis = 150; ///< A flow's next fan-out; less than a caller's retransmission.
    static constexpr std::uint64_t confirmMillis = 40; ///< Many round trips, and two ticks of an agent.
    static constexpr std::uint64_t waitMillis = 300; ///< Longest wait for the rate; the caller has retransmitted then.
    /// Bound of the fan-outs' rate and of a burst. Each agent receives as many: a few hundredths of a core.
    static constexpr std::uint64_t datagramsPerSecond = 8000;
    static constexpr std::size_t maximumFlows = 8192; ///< That are looked for at a time.
    static constexpr std::size_t maximumAskers = 16; ///< Balancers that wait for one flow.
    static constexpr std::size_t maximumKeptBytes = 4'000'000; ///< Of packets that wait for their holder.
    static constexpr std::size_t maximumHints = 20'000; ///< In each of two generations; as many as an agent's flows.
    static constexpr std::uint64_t registeredAfterMillis = 1000; ///< Flows for one request are shorter.
    static constexpr std::uint64_t repeatRegistrationMillis = 10'000; ///< After this a new locator knows the flow.
    static constexpr std::uint64_t hintAgeMillis = 3 * repeatRegistrationMillis;

    /// A packet to send as `Find` for the balancer `origin`.
    struct Forward {
        PacketEndpoint origin;
        std::vector<std::uint8_t> packet;
        std::uint32_t service = 0;
        std::optional<PacketEndpoint> holder; ///< The only addressee; all agents of the service if not set.
    };

    enum class Status : std::uint8_t {
        Accepted,
        Repeated, ///< The balancer has asked for the flow within the window.
        Full ///< Too many flows, balancers or bytes; the balancer's own queries go on.
    };

    /// `agentCount` returns the number of agents of a service, 0 if not known yet.
    explicit FlowLocator(std::function<std::size_t(std::uint32_t service)> agentCount)
        : m_agentCount(std::move(agentCount))
    {
    }

    /// Handles a balancer's request. What is to be sent is returned by the next `takeForwards`.
    Status locate(const PacketFlow& flow, std::uint32_t service, const PacketEndpoint& origin, PacketBytes packet,
        std::uint64_t nowMillis);

    /// Handles the message of an agent that holds a flow. Returns false if nobody has asked for the flow.
    bool handleHolder(const PacketFlow& flow, const PacketEndpoint& holder, std::uint64_t nowMillis);

    /// Remembers the holder of a flow that is open for long.
    void registerFlow(const PacketFlow& flow, const PacketEndpoint& holder);

    /// Continues fan-outs that wait and hints that were not confirmed. Call at each tick.
    void poll(std::uint64_t nowMillis);

    /// Removes and returns the packets to send.
    std::vector<Forward> takeForwards() { return std::exchange(m_forwards, {}); }

    /// The flow's holder as far as known.
    std::optional<PacketEndpoint> hint(const PacketFlow& flow) const;

    /// Number of flows that are looked for.
    std::size_t size() const { return m_requests.size(); }

    /// Whether an agent should tell the flow's locator now that it holds the flow.
    static bool isRegistrationDue(const PacketFlowEntry& entry, std::uint64_t nowMillis);

private:
    struct Asker {
        PacketEndpoint origin;
        std::vector<std::uint8_t> packet; // empty once sent to all agents
    };

    enum class Stage : std::uint8_t { Waiting, HintAsked, AllAsked };

    struct Request {
        Stage stage = Stage::Waiting;
        std::uint64_t sinceMillis = 0; // of the stage
        std::uint32_t service = 0;
        std::vector<Asker> askers;
    };

    void askAll(Request& request, std::uint64_t nowMillis);
    void eraseHint(const PacketFlow& flow);
    void dropPacket(Asker& asker);

    const std::function<std::size_t(std::uint32_t)> m_agentCount;
    std::unordered_map<PacketFlow, Request> m_requests;
    std::unordered_map<PacketFlow, PacketEndpoint> m_hints;
    std::unordered_map<PacketFlow, PacketEndpoint> m_olderHints;
    std::vector<Forward> m_forwards;
    std::size_t m_keptBytes = 0;
    std::uint64_t m_allowance = datagramsPerSecond; // datagrams that may be sent now
    std::uint64_t m_allowanceMillis = 0; // when it was last increased
    std::uint64_t m_hintsAgedMillis = 0;
};

} // namespace yuccahook::flow
