#pragma once

#include "FlowAgentModel.h"
#include "flow/HintCache.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace yuccahook::bench {

/// Size, traffic and faults of a cluster in virtual time. Shares are between 0 and 1.
struct FlowClusterOptions {
    std::uint64_t seed = 1;
    bool naive = false; ///< Hash-modulo routing; directories and hints are not used.
    std::uint32_t services = 2;
    std::uint32_t agentsPerService = 5; ///< At the start; changes add and remove some.
    std::uint32_t balancers = 4;
    std::uint32_t flows = 300; ///< Opened at random times of the run.
    std::uint32_t packetsPerFlow = 12;
    std::uint32_t events = 20; ///< Changes of membership, at random times of the run.
    double seconds = 6; ///< Time in which flows open and changes happen.
    double loss = 0; ///< Probability that a datagram or message is lost.
    double repeat = 0; ///< Share of the datagrams and messages that are sent twice.
    double lateSeconds = 0.5; ///< Maximum delay of the second copy.
    double crashShare = 0.25; ///< Share of the events that are crashes; the others are planned changes.
    double leaseSeconds = 0.4; ///< From a crash to the revision that records it.
    double staleSeconds = 1; ///< Maximum delay of a revision at a balancer.
    std::size_t hints = 256; ///< Capacity of the hint cache of each balancer; 0: no cache.
    /// Injects a fault: may change a message before it is sent, and drops it by returning false.
    std::function<bool(flow::PeerMessage&)> alterMessage;
    /// Injects a fault: may change a decision before it is applied.
    std::function<void(flow::Decision&)> alterDecision;
};

/// Counts of a run. The cluster compares every delivery with a global table of the open flows.
struct FlowClusterResult {
    std::uint64_t flows = 0;
    std::uint64_t lostWithTheirServer = 0; ///< Flows that were open at an agent that crashed.
    /// Other flows that reached a second agent, or that no packet reached in the final check.
    std::uint64_t broken = 0;
    std::uint64_t misrouted = 0; ///< Packets that reached an agent of another service.
    std::uint64_t duplicates = 0; ///< Flows opened while still open at another live agent of the service.
    std::uint64_t packets = 0;
    std::uint64_t undelivered = 0; ///< Packets of open flows that were lost by a decision, not by the network.
    /// Packets of flows not yet open that were lost by a decision; the caller sends further packets.
    std::uint64_t openingsRefused = 0;
    std::uint64_t openedWhileDraining = 0; ///< Flows that a draining agent opened.
    std::uint64_t revisions = 0;
    std::uint64_t forwards = 0; ///< Packets that an agent sent to another one, probes included.
    std::uint64_t messages = 0; ///< Between agents, lost ones included.
    std::uint64_t messageEntries = 0; ///< Directory entries in these messages.
    std::uint64_t bucketsWaiting = 0; ///< Buckets still waiting for a handover at the end, summed over the live agents.
    flow::AgentFlows::Counts counts; ///< Summed over all agents, stopped ones included.
};

/// Simulates agents and balancers of several services in virtual time, with a network that delays, reorders, loses and
/// duplicates datagrams and messages. The same options give the same result.
class FlowCluster {
public:
    explicit FlowCluster(FlowClusterOptions options);

    /// Runs the whole simulation. To be called once.
    FlowClusterResult run();

private:
    using Time = flow::Time;

    struct Agent {
        std::uint32_t id = 0;
        std::uint32_t service = 0;
        bool alive = true;
        bool draining = false;
        std::uint64_t revision = 0;
        flow::MembershipPointer membership;
        std::unique_ptr<FlowAgentModel> model;
    };

    struct Balancer {
        std::shared_ptr<const flow::BucketMap> map;
        std::unique_ptr<flow::HintCache> hints;
    };

    /// A packet of a caller, with its copies that are still in the network.
    struct PacketInFlight {
        std::uint32_t flow = 0;
        std::uint32_t balancer = 0;
        std::uint32_t copies = 0;
        bool delivered = false;
        bool lostByNetwork = false;
        bool flowWasOpen = false;
    };

    struct Flow {
        flow::FlowKey key;
        std::uint32_t holder = 0; ///< Id of the agent that has the flow open; 0: not open.
        std::uint32_t packetsLeft = 0;
        bool broken = false;
        bool lostWithServer = false;
        bool ended = false;
    };

    struct Event {
        Time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(Time delay, std::function<void()> action);
    Time randomDelay(double maximumSeconds);
    bool chance(double share);
    void addAgent(std::uint32_t service);
    void publish();
    void applyMembership(Agent& agent, const flow::MembershipPointer& membership);
    void applyBalancerMembership(std::uint32_t index, const flow::MembershipPointer& membership);
    void changeMembership();
    void crash(Agent& agent);
    void drain(Agent& agent);
    void removeWhenEmpty(std::uint32_t id);
    Agent* randomReadyAgent();
    flow::Member* member(std::uint32_t id);
    void openFlow(std::uint32_t index);
    void sendFromCaller(std::uint32_t index);
    std::uint32_t naiveTarget(const Balancer& balancer, const flow::FlowKey& key) const;
    void forward(std::uint64_t packetId, const flow::Packet& packet, const Agent& from, std::uint32_t to);
    void transmit(std::uint64_t packetId, flow::Packet packet, std::uint32_t to);
    void receivePacket(std::uint64_t packetId, const flow::Packet& packet, std::uint32_t to);
    void applyDecision(std::uint64_t packetId, flow::Packet packet, Agent& agent, const flow::Decision& decision);
    void handleDelivery(PacketInFlight& sent, Agent& agent, bool opened);
    void finishCopy(std::uint64_t packetId);
    void endFlow(std::uint32_t index);
    void flushMessages(Agent& agent);
    void tickAgent(std::uint32_t id);
    void markBroken(Flow& flow);

    const FlowClusterOptions m_options;
    std::mt19937_64 m_random;
    Time m_now { 0 };
    std::uint64_t m_nextOrder = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    flow::Membership m_membership;
    std::uint32_t m_nextId = 100;
    std::map<std::uint32_t, Agent> m_agents;
    std::vector<Balancer> m_balancers;
    std::vector<Flow> m_flows;
    std::shared_ptr<const flow::BucketMap> m_newestMap;
    std::unordered_map<std::uint64_t, PacketInFlight> m_inFlight;
    std::uint64_t m_nextPacketId = 0;
    bool m_finalCheck = false;
    FlowClusterResult m_result;
};

} // namespace yuccahook::bench
