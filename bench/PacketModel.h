#pragma once

#include "flow/PacketAgent.h"
#include "flow/PacketBalancer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccahook::bench {

/// How new flows are placed.
enum class PacketPolicy {
    Ours,
    Naive, ///< By hash over the list of backend servers, all of which take everything.
    Ideal ///< The backend server with the fewest requests, as one that sees them all would choose.
};

/// A site of the packet model.
struct PacketModelOptions {
    std::uint64_t seed = 1;
    std::uint32_t domains = 3;
    std::uint32_t balancers = 2; ///< A failure domain.
    std::uint32_t agents = 3; ///< A failure domain.
    std::uint32_t services = 1; ///< Agents take them in turn.
    std::uint32_t slots = 4;
    std::uint32_t queue = 16; ///< Requests that a backend server lets wait.
    double load = 0.5; ///< Share of all slots in use, on average.
    double workMillis = 40;
    double tailShare = 0.03; ///< Of requests that take `tailFactor` times the work.
    double tailFactor = 7;
    std::uint32_t goalMillis = 250;
    std::uint32_t deadlineMillis = 1500;
    std::uint32_t tries = 3;
    double unsafeShare = 0.25;
    double seconds = 10;
    PacketPolicy policy = PacketPolicy::Ours;
};

/// What callers and backend servers saw.
struct PacketModelFigures {
    std::uint64_t asked = 0;
    std::uint64_t inGoal = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    std::uint64_t unsafeAsked = 0; ///< Of those asked, that must not run twice; their routes go first.
    std::uint64_t unsafeInGoal = 0;
    std::uint64_t shed = 0; ///< Refused by a backend server as not run.
    std::uint64_t resets = 0; ///< Of flows that never opened.
    std::uint64_t brokenFlows = 0; ///< Open flows that were reset while their backend server lived.
    std::uint64_t strayPackets = 0; ///< Packets of open flows that reached another backend server.
    std::uint64_t wrongService = 0;
    std::uint64_t ranTwice = 0; ///< Unsafe requests.
    std::uint64_t crossBytes = 0; ///< Between failure domains.
    std::uint64_t afterDrain = 0; ///< Flows taken by a draining backend server.
    double p50 = 0;
    double p99 = 0;
    double busiestOverMean = 0;
    std::map<std::string, std::uint64_t> decisions;

    double servedShare() const { return asked == 0 ? 1 : double(inGoal + late) / double(asked); }
    double unsafeGoalShare() const { return unsafeAsked == 0 ? 1 : double(unsafeInGoal) / double(unsafeAsked); }
    double goalShare() const { return asked == 0 ? 1 : double(inGoal) / double(asked); }
};

/// Callers, backend servers and the real decision code of balancers and agents, in virtual time without a network.
class PacketModel {
public:
    explicit PacketModel(PacketModelOptions options);
    ~PacketModel();
    PacketModel(const PacketModel&) = delete;
    PacketModel& operator=(const PacketModel&) = delete;

    /// Does something at a moment, in seconds from the start.
    void at(double seconds, std::function<void()> work);

    /// Plays the whole time, and then until every request has ended.
    PacketModelFigures run();

    // What may happen, to be called from `at`.
    void crashBackend(std::size_t index, double forSeconds); ///< Silent; comes back as another incarnation.
    void slowBackend(std::size_t index, double factor, double forSeconds);
    void freezeBalancer(std::size_t index, double forSeconds); ///< Its packets wait; routers leave it after 1 s.
    void freezeAgent(std::size_t index, double forSeconds); ///< With its backend server.
    void restartAgent(std::size_t index, double downSeconds); ///< Its backend server lives.
    void stopAgent(std::size_t index, double downSeconds); ///< A planned stop before.
    void drainBackend(std::size_t index);
    void restartBalancer(std::size_t index, double downSeconds);
    void loseMembership(std::size_t balancer, double forSeconds); ///< A new balancer without routes.
    void moveRouteTo(std::uint32_t service); ///< New flows of the first route.
    void dropRoute();
    void setLoad(double load) { m_options.load = load; }

    std::size_t balancers() const { return m_balancers.size(); }
    std::size_t agents() const { return m_agents.size(); }
    double now() const { return m_now / 1000; }

private:
    struct Attempt;
    struct Request;
    class BalancerNode;
    class AgentNode;

    void schedule(double delayMillis, std::function<void()> work);
    void publish();
    flow::Member memberOf(std::size_t agent) const;
    void arrive();
    void tryOnce(const std::shared_ptr<Request>& request);
    AgentNode& placeWithoutCores(const Attempt& attempt);
    void sendFromCaller(Attempt& attempt, const flow::PacketHeader& header);
    void sendToCaller(std::uint32_t fromDomain, flow::PacketBytes packet);
    void endAttempt(Attempt& attempt, bool mayRepeat);
    void finish(Request& request, bool served);
    void sendToTrunk(std::uint32_t fromDomain, const flow::PacketEndpoint& from, const flow::PacketEndpoint& to,
        flow::PacketBytes datagram);
    void retransmit(const std::shared_ptr<Attempt>& attempt, double interval);
    std::uint64_t nowMillis() const { return static_cast<std::uint64_t>(m_now) + epochMillis; }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    static constexpr std::uint64_t epochMillis = 1'000'000;

    struct Event {
        double at;
        std::uint64_t order;
        std::function<void()> work;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    PacketModelOptions m_options;
    std::mt19937_64 m_random;
    double m_now = 0; // milliseconds
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<BalancerNode>> m_balancers;
    std::vector<std::unique_ptr<AgentNode>> m_agents;
    std::unordered_map<flow::PacketEndpoint, std::weak_ptr<Attempt>> m_attempts; // by caller
    std::shared_ptr<flow::Membership> m_membership;
    std::uint32_t m_nextPort = 1024;
    std::uint32_t m_nextHost = 1;
    std::uint32_t m_nextMember = 0;
    std::uint64_t m_nextRequest = 0;
    std::uint64_t m_openRequests = 0;
    std::vector<double> m_latencies;
    std::map<std::uint64_t, std::uint32_t> m_runs; // by request
    PacketModelFigures m_figures;
};

} // namespace yuccahook::bench
