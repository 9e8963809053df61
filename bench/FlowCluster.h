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

/// What a cluster in virtual time is made of and what befalls it.
struct FlowClusterOptions {
    std::uint64_t seed = 1;
    bool naive = false; ///< Hash-modulo routing without any memory.
    std::uint32_t services = 2;
    std::uint32_t agentsPerService = 5;
    std::uint32_t balancers = 4;
    std::uint32_t flows = 300; ///< Opened over the run.
    std::uint32_t packetsPerFlow = 12;
    std::uint32_t events = 20; ///< Changes of membership.
    double seconds = 6;
    double loss = 0; ///< Of each datagram and message.
    double repeat = 0; ///< Share of messages and datagrams that arrive twice.
    double lateSeconds = 0.5; ///< Longest delay of a repeated one.
    double crashShare = 0.25; ///< Of the events; the rest are planned.
    double leaseSeconds = 0.4; ///< From a crash to the revision that says so.
    double staleSeconds = 1; ///< Longest delay of a revision at a balancer.
    std::size_t hints = 256; ///< Of each balancer; 0: none.
    /// Changes a message before it is sent, or returns false to drop it: faults put in on purpose.
    std::function<bool(flow::PeerMessage&)> alterMessage;
    std::function<void(flow::Decision&)> alterDecision;
};

/// What was seen, against a global table that knows every open flow.
struct FlowClusterResult {
    std::uint64_t flows = 0;
    std::uint64_t lostWithTheirServer = 0; ///< Flows of crashed backend servers.
    std::uint64_t broken = 0; ///< Other flows that reached a second backend server or could no longer be reached.
    std::uint64_t misrouted = 0; ///< Packets that reached another service's backend server.
    std::uint64_t duplicates = 0; ///< Flows opened while open at another live agent.
    std::uint64_t packets = 0;
    std::uint64_t undelivered = 0; ///< Packets of open flows that no network fault, but a decision, lost.
    std::uint64_t openingsRefused = 0; ///< First packets that a decision lost; the caller sends again.
    std::uint64_t openedWhileDraining = 0;
    std::uint64_t revisions = 0;
    std::uint64_t forwards = 0;
    std::uint64_t messages = 0;
    std::uint64_t messageEntries = 0;
    std::uint64_t bucketsWaiting = 0; ///< Still unclaimed when all is quiet.
    flow::AgentFlows::Counts counts;
};

/// Agents and balancers of several services in virtual time, with a network that delays, reorders, loses and repeats.
class FlowCluster {
public:
    explicit FlowCluster(FlowClusterOptions options);

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

    /// One packet of a caller and the copies of it under way.
    struct Sent {
        std::uint32_t flow = 0;
        std::uint32_t balancer = 0;
        std::uint32_t copies = 0;
        bool delivered = false;
        bool networkLost = false;
        bool wasOpen = false;
    };

    struct Flow {
        flow::FlowKey key;
        std::uint32_t holder = 0; ///< 0: not open.
        std::uint32_t packetsLeft = 0;
        bool broken = false;
        bool serverLost = false;
        bool ended = false;
    };

    struct Event {
        Time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void after(Time delay, std::function<void()> action);
    Time randomTime(double seconds);
    bool chance(double share);
    void addAgent(std::uint32_t service);
    void publish();
    void tell(Agent& agent, const flow::MembershipPointer& membership);
    void tellBalancer(std::uint32_t index, const flow::MembershipPointer& membership);
    void change();
    void crash(Agent& agent);
    void drain(Agent& agent);
    void leaveWhenEmpty(std::uint32_t id);
    Agent* randomReadyAgent();
    flow::Member* member(std::uint32_t id);
    void startFlow(std::uint32_t index);
    void sendFromCaller(std::uint32_t index);
    std::uint32_t naiveTarget(const Balancer& balancer, const flow::FlowKey& key) const;
    void passOn(std::uint64_t sent, const flow::Packet& packet, const Agent& from, std::uint32_t to);
    void transmit(std::uint64_t sent, flow::Packet packet, std::uint32_t to);
    void arrive(std::uint64_t sent, const flow::Packet& packet, std::uint32_t to);
    void act(std::uint64_t sent, flow::Packet packet, Agent& agent, const flow::Decision& decision);
    void delivered(Sent& sent, Agent& agent, bool opened);
    void copyGone(std::uint64_t sent);
    void endFlow(std::uint32_t index);
    void flushMessages(Agent& agent);
    void tickAgent(std::uint32_t id);
    void breakFlow(Flow& flow);

    const FlowClusterOptions m_options;
    std::mt19937_64 m_random;
    Time m_now { 0 };
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    flow::Membership m_membership;
    std::uint32_t m_nextId = 100;
    std::map<std::uint32_t, Agent> m_agents;
    std::vector<Balancer> m_balancers;
    std::vector<Flow> m_flows;
    std::shared_ptr<const flow::BucketMap> m_map; // the newest
    std::unordered_map<std::uint64_t, Sent> m_sent;
    std::uint64_t m_nextSent = 0;
    bool m_quiet = false;
    FlowClusterResult m_result;
};

} // namespace yuccahook::bench
