#pragma once

#include "flow/AgentDirectory.h"
#include "flow/PacketCodec.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace yuccahook::flow {

/// Searches for the agents of flows that a balancer does not know, and finds out which flows have no agent any more.
///
/// All agents are asked for many flows at a time. The first packets of a flow are kept until an agent has answered that
/// it holds the flow. A flow has ended once every agent has answered that its backend server does not hold it: a packet
/// of an existing flow proves that it was opened before, so none can open it later. An agent that does not answer
/// keeps the search open, until it is removed from the membership and has been silent for `silenceMillis`. So does an
/// agent with a newer membership, which may have agents that this balancer does not know.
///
/// A flow's locator is asked first, if it has one (see FlowLocators), and the queries start after `locateMillis`. They
/// alone prove that a flow has ended.
///
/// The rate of queries is bounded, whatever the number of flows and agents. Has no clock and sends nothing itself; not
/// thread-safe.
class FlowSearch {
public:
    static constexpr std::size_t maximumSearches = 4096;
    static constexpr std::size_t maximumKeptBytes = 1'000'000; ///< Of kept packets; further ones are dropped.
    static constexpr std::size_t maximumKeptPackets = 16; ///< Of one flow; a caller has no more under way.
    static constexpr std::uint64_t datagramsPerSecond = 1000; ///< Bound of the queries' rate.
    static constexpr std::uint64_t bytesPerSecond = 60'000; ///< The same; a quarter of a link of 2 Mbit/s.
    /// The same for queries and replies with all their headers; half of a link of 2 Mbit/s. With 204 agents and small
    /// queries, the other bounds let them fill such a link, so that messages of holders were late or lost.
    static constexpr std::uint64_t linkBytesPerSecond = 125'000;
    /// Of queries without a reply, and their replies. Slows the queries down in a full link, which would otherwise
    /// delay the messages of holders, too; 24 ms of a link of 2 Mbit/s.
    static constexpr std::size_t maximumUnansweredBytes = 6000;
    static constexpr std::uint64_t replyMillis = 250; ///< After this, an agent without a reply no longer counts.
    static constexpr std::uint64_t burstMillis = 50; ///< Of the rate that may be used at once.
    static constexpr std::uint64_t repeatMillis = 60; ///< Until an agent that has not answered is asked again.
    static constexpr std::uint64_t locateMillis = 100; ///< For a locator to find the flow; many round trips.
    static constexpr std::uint64_t repeatProbeMillis = 250; ///< Until an agent that may hold the flow is probed again.
    /// Of one flow without a further packet; a message of its holder may be lost in a full link. Asking a locator again
    /// takes a hundredth of asking all agents.
    static constexpr std::size_t maximumLocates = 4;
    static constexpr std::uint64_t idleMillis = 2500; ///< A search ends when its caller has sent nothing for so long.
    static constexpr std::uint64_t silenceMillis = 10'000; ///< As long as a member's lease.
    static constexpr std::uint64_t graceMillis = 2000; ///< For a removed agent to answer; many queries.

    enum class Result : std::uint8_t {
        Found, ///< The agent holds the flow.
        Possible, ///< The agent's backend server may hold the flow; the packets will tell.
        Ended ///< No backend server holds the flow.
    };

    /// What a reply says of a flow.
    struct Outcome {
        Result result = Result::Found;
        PacketFlow flow;
        std::uint32_t acknowledged = 0; ///< The caller's last acknowledgement number.
        std::vector<std::vector<std::uint8_t>> packets; ///< In order of arrival; the first one only if `Possible`.
    };

    /// Searches for a packet's flow and keeps the packet. A new search starts its queries after `delayMillis`. Returns
    /// false if there are too many searches.
    bool add(const PacketHeader& header, PacketBytes packet, std::uint64_t nowMillis, std::uint64_t delayMillis = 0);

    /// A packet to send to a locator.
    struct LocateRequest {
        std::size_t rank = 0; ///< Of the locator.
        std::vector<std::uint8_t> packet;
    };

    /// The next request to a locator for the flow, if one is due after a packet of its caller.
    std::optional<LocateRequest> nextLocate(const PacketFlow& flow, std::uint64_t nowMillis);

    /// The flows whose last locator has not answered, for another `nextLocate`.
    std::vector<PacketFlow> takeUnlocated(std::uint64_t nowMillis);

    /// Whether the flow is being searched for.
    bool contains(const PacketFlow& flow) const { return m_searches.contains(flow); }

    /// Ends a flow's search. Returns its kept packets, without those that were sent to the agent at `holder`.
    std::vector<std::vector<std::uint8_t>> remove(const PacketFlow& flow, const PacketEndpoint& holder = {});

    /// As `remove` after the message of the holder, which the locator has sent the first packet.
    std::vector<std::vector<std::uint8_t>> removeLocated(const PacketFlow& flow, const PacketEndpoint& holder);

    /// Sets the agents to ask.
    void setAgents(const std::vector<AgentDirectory::Agent>& agents, std::uint64_t revision, std::uint64_t nowMillis);

    /// Calls `send` with the trunk address and the query for each agent to ask now. Drops searches without a caller.
    template <typename Send> void poll(std::uint64_t nowMillis, const Send& send)
    {
        if (m_searches.empty())
            return;
        if (nowMillis >= m_nextCheckMillis)
            checkSearches(nowMillis);
        const std::uint64_t nowMicros = nowMillis * 1000;
        m_nextQueryMicros = std::max(m_nextQueryMicros, nowMicros - std::min(nowMicros, burstMillis * 1000));
        while (m_nextQueryMicros <= nowMicros && m_unansweredBytes < maximumUnansweredBytes) {
            startPasses(nowMillis);
            if (m_asked.empty())
                return;
            const PacketEndpoint trunk = m_order[m_position++ % m_order.size()];
            const auto flows = flowsFor(trunk, nowMillis);
            if (flows.empty())
                continue;
            const auto query = encodeQuery(flows);
            send(trunk, query);
            AskedAgent& asked = m_agents.at(trunk);
            asked.unansweredMillis = nowMillis;
            asked.unansweredBytes += linkBytes(flows.size());
            m_unansweredBytes += linkBytes(flows.size());
            m_nextQueryMicros += queryMicros(flows.size(), query.size());
        }
    }

    /// Handles an agent's reply. Returns nothing if no agent that was asked has that trunk address.
    std::optional<std::vector<Outcome>> handleReply(
        const PacketEndpoint& source, const FlowReply& reply, std::uint64_t nowMillis);

    /// Removes and returns the flows that have ended. Call only while in contact with a control instance.
    std::vector<Outcome> takeEnded();

    std::size_t size() const { return m_searches.size(); }

private:
    /// An agent that may hold flows.
    struct AskedAgent {
        std::uint32_t member = 0;
        std::uint64_t heardMillis = 0; ///< When its last load report or reply arrived; 0 if never.
        bool isMember = true;
        std::uint64_t unansweredMillis = 0; ///< When the last query without a reply was sent.
        std::size_t unansweredBytes = 0; ///< Of queries without a reply, and their replies.
    };

    /// What was sent to an agent that may hold the flow.
    struct Probe {
        std::size_t packets = 0;
        std::uint64_t sentMillis = 0;
    };

    struct Search {
        std::uint32_t acknowledged = 0;
        std::uint64_t activeMillis = 0; ///< When the caller's last packet arrived.
        std::uint64_t passMillis = 0; ///< When its next pass over the agents may start.
        std::size_t agentsLeft = 0; ///< In the present pass; 0 between passes.
        std::uint64_t locatedMillis = 0; ///< When a locator was last asked.
        std::size_t locates = 0; ///< Requests to locators.
        std::uint64_t revision = 0; ///< The newest membership of the agents that have answered.
        bool callerReset = false;
        std::vector<std::vector<std::uint8_t>> packets;
        std::unordered_set<std::uint32_t> denied; ///< Members that do not hold the flow.
        std::unordered_map<std::uint32_t, Probe> probes; ///< By member.
    };

    using Pass = std::pair<std::uint64_t, PacketFlow>; // when it may start
    struct LaterPass {
        bool operator()(const Pass& one, const Pass& other) const { return one.first > other.first; }
    };

    void checkSearches(std::uint64_t nowMillis);
    void countUnanswered(std::uint64_t nowMillis);
    void startPasses(std::uint64_t nowMillis);
    static std::size_t linkBytes(std::size_t flows);
    static std::uint64_t queryMicros(std::size_t flows, std::size_t bytes);
    std::vector<QueriedFlow> flowsFor(const PacketEndpoint& trunk, std::uint64_t nowMillis);
    bool hasEnded(const Search& search) const;

    std::unordered_map<PacketFlow, Search> m_searches;
    std::unordered_map<PacketEndpoint, AskedAgent> m_agents; // by trunk
    std::deque<std::pair<std::uint64_t, PacketFlow>> m_located; // requests to locators, by time
    std::unordered_set<PacketFlow> m_denied; // flows that may have ended
    std::size_t m_keptBytes = 0;
    std::vector<PacketEndpoint> m_order; // of the agents in a pass
    std::size_t m_position = 0; // in the order; a search joins its pass at any position
    std::vector<PacketFlow> m_asked; // searches in a pass, at most as many as a query has flows
    std::priority_queue<Pass, std::vector<Pass>, LaterPass> m_passes; // searches that wait for their next pass
    std::size_t m_unansweredBytes = 0; // of all agents
    std::uint64_t m_nextQueryMicros = 0;
    std::uint64_t m_nextCheckMillis = 0;
    std::uint64_t m_revision = 0;
};

} // namespace yuccahook::flow
