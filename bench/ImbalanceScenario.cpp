#include "FlowAgentModel.h"
#include "Scenario.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

namespace yuccahook::bench {

namespace {

using flow::Time;

constexpr double warmUpShare = 0.4;
constexpr auto sampleInterval = std::chrono::milliseconds(500);

Time fromSeconds(double seconds) { return std::chrono::duration_cast<Time>(std::chrono::duration<double>(seconds)); }

/// Selects a target for each new flow.
class TargetSelector {
public:
    virtual ~TargetSelector() = default;
    virtual std::size_t open(const flow::FlowKey& key, Time now) = 0;
    virtual void close(std::size_t target, const flow::FlowKey& key, Time now) = 0;
    virtual void tick(Time) { }
};

class HashSelector final : public TargetSelector {
public:
    explicit HashSelector(std::size_t targets)
        : m_targets(targets)
    {
    }
    std::size_t open(const flow::FlowKey& key, Time) override { return hashOf(key) % m_targets; }
    void close(std::size_t, const flow::FlowKey&, Time) override { }

private:
    std::size_t m_targets;
};

/// Selects the target with the fewest open flows, from exact counts.
class LeastLoadedSelector final : public TargetSelector {
public:
    explicit LeastLoadedSelector(std::size_t targets)
        : m_loads(targets)
    {
    }
    std::size_t open(const flow::FlowKey&, Time) override
    {
        const auto least = std::min_element(m_loads.begin(), m_loads.end());
        ++*least;
        return least - m_loads.begin();
    }
    void close(std::size_t target, const flow::FlowKey&, Time) override { --m_loads[target]; }

private:
    std::vector<std::size_t> m_loads;
};

/// Agents with flow::AgentFlows. Messages arrive at once, but the agents report their loads only once a second.
class AgentSelector final : public TargetSelector {
public:
    AgentSelector(std::size_t targets, std::uint32_t buckets)
    {
        auto membership = std::make_shared<flow::Membership>();
        membership->revision = 1;
        flow::ServiceSpec service;
        service.id = 1;
        service.buckets = buckets;
        membership->services.push_back(service);
        for (std::size_t index = 0; index < targets; ++index) {
            flow::Member member;
            member.id = firstId + index;
            member.service = 1;
            membership->members.push_back(member);
        }
        m_map = std::make_unique<flow::BucketMap>(membership);
        m_agents = std::vector<ProductionFlowAgent>(targets);
        for (std::size_t index = 0; index < targets; ++index)
            m_agents[index].setMembership(membership, firstId + index);
        deliverMessages(Time { 0 });
    }

    std::size_t open(const flow::FlowKey& key, Time now) override
    {
        flow::Packet packet { key, flow::PacketHint::Start, 0, 1, 0, {} };
        std::uint32_t at = m_map->ownerOf(key)->id;
        while (true) {
            const auto decision = m_agents[at - firstId].decide(packet, now);
            if (decision.verdict != flow::Verdict::Forward)
                return at - firstId;
            packet.routing = decision.routing;
            ++packet.hops;
            at = decision.member;
        }
    }

    void close(std::size_t target, const flow::FlowKey& key, Time now) override { m_agents[target].close(key, now); }

    void tick(Time now) override
    {
        for (auto& agent : m_agents)
            agent.tick(now);
        deliverMessages(now);
    }

private:
    static constexpr std::uint32_t firstId = 100;

    void deliverMessages(Time now)
    {
        bool delivered = true;
        while (delivered) {
            delivered = false;
            for (auto& agent : m_agents) {
                for (const auto& message : agent.takeMessages()) {
                    m_agents[message.to - firstId].receive(message, now);
                    delivered = true;
                }
            }
        }
    }

    std::unique_ptr<flow::BucketMap> m_map;
    std::vector<ProductionFlowAgent> m_agents;
};

struct FlowEnd {
    Time at;
    std::size_t target;
    flow::FlowKey key;
    bool operator>(const FlowEnd& other) const { return at > other.at; }
};

struct LoadOptions {
    std::size_t targets;
    double flowsPerTarget;
    double meanSeconds;
    double seconds;
    std::uint64_t seed;
};

nlohmann::json measure(TargetSelector& selector, const LoadOptions& load)
{
    std::mt19937_64 random(load.seed);
    const double rate = load.flowsPerTarget * load.targets / load.meanSeconds;
    std::exponential_distribution<double> arrivalGap(rate);
    // Of the logarithm of the lifetime. Heavy-tailed: a tenth of the flows make up half of the total lifetime.
    constexpr double deviation = 1.5;
    std::lognormal_distribution<double> lifetime(std::log(load.meanSeconds) - deviation * deviation / 2, deviation);
    std::priority_queue<FlowEnd, std::vector<FlowEnd>, std::greater<>> flowEnds;
    std::vector<double> openFlows(load.targets);
    std::vector<double> ratios;
    Time nextArrival = fromSeconds(arrivalGap(random));
    Time nextTick { 0 };
    Time nextSample = fromSeconds(load.seconds * warmUpShare);
    const Time end = fromSeconds(load.seconds);
    for (Time now { 0 }; now < end;) {
        now = std::min({ nextArrival, nextTick, nextSample, flowEnds.empty() ? end : flowEnds.top().at });
        while (!flowEnds.empty() && flowEnds.top().at <= now) {
            selector.close(flowEnds.top().target, flowEnds.top().key, now);
            --openFlows[flowEnds.top().target];
            flowEnds.pop();
        }
        if (now == nextTick) {
            selector.tick(now);
            nextTick += flow::AgentFlows::tickInterval;
        }
        if (now == nextSample) {
            const double mean = std::accumulate(openFlows.begin(), openFlows.end(), 0.0) / load.targets;
            ratios.push_back(*std::max_element(openFlows.begin(), openFlows.end()) / mean);
            nextSample += sampleInterval;
        }
        if (now == nextArrival) {
            const flow::FlowKey key { { 0, random(), 1 }, 1 };
            const std::size_t target = selector.open(key, now);
            ++openFlows[target];
            flowEnds.push({ now + fromSeconds(lifetime(random)), target, key });
            nextArrival = now + fromSeconds(arrivalGap(random));
        }
    }
    std::sort(ratios.begin(), ratios.end());
    const double mean = std::accumulate(ratios.begin(), ratios.end(), 0.0) / ratios.size();
    return { { "max_over_mean", mean }, { "p99_over_mean", ratios[ratios.size() * 99 / 100] },
        { "worst_over_mean", ratios.back() } };
}

nlohmann::json run(const ScenarioOptions& options)
{
    LoadOptions load;
    load.targets = options.number("targets", 7);
    load.flowsPerTarget = options.real("flows-per-target", 300);
    load.meanSeconds = options.real("lifetime", 20);
    load.seconds = options.real("seconds", 600);
    load.seed = options.seed;
    AgentSelector ours(load.targets, options.number("buckets", 256));
    HashSelector naive(load.targets);
    LeastLoadedSelector ideal(load.targets);
    return { { "ours", measure(ours, load) }, { "naive", measure(naive, load) }, { "ideal", measure(ideal, load) } };
}

const ScenarioRegistration registration { { "imbalance",
    "Open flows of the fullest target over the mean; naive is a hash, ideal sees every load",
    "--targets N (7) --flows-per-target N (300) --lifetime S (20) --seconds S (600) --buckets N (256)", run } };

} // namespace

} // namespace yuccahook::bench
