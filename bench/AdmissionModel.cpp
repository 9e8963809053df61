#include "AdmissionModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <tuple>
#include <unordered_map>

namespace yuccahook::bench {

namespace {

using request::AdmissionActionKind;
using request::AttemptOutcome;

constexpr Time shedDelay = std::chrono::milliseconds(1);
constexpr int naiveRetries = 2;
constexpr Time naiveRetryDelay = std::chrono::milliseconds(10);

// How much longer stragglers make the mean request.
double stragglerMean(const ModelFaults& faults) { return 1 + faults.stragglerShare * (faults.stragglerFactor - 1); }

double seconds(Time time) { return std::chrono::duration<double>(time).count(); }

Time fromSeconds(double value) { return Time(static_cast<Time::rep>(value * 1e9)); }

/// Events in the order of their virtual time.
class Clock {
public:
    Time now() const { return m_now; }

    void at(Time time, std::function<void()> work)
    {
        m_events.push({ std::max(time, m_now), m_sequence++, std::move(work) });
    }

    void after(Time delay, std::function<void()> work) { at(m_now + delay, std::move(work)); }

    void run(Time until)
    {
        while (!m_events.empty() && m_events.top().time <= until) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.work();
        }
    }

private:
    struct Event {
        Time time;
        std::uint64_t sequence;
        std::function<void()> work;

        bool operator<(const Event& other) const
        {
            return std::tie(other.time, other.sequence) < std::tie(time, sequence);
        }
    };

    Time m_now {};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

struct ModelRequest {
    std::uint64_t id = 0;
    const Workload* workload = nullptr;
    Time arrived {};
    Time deadline {};
    Time serviceTime {};
    std::uint32_t runs = 0;
    bool answered = false;
    bool refused = false;
    bool measured = false;
};

// Slot time of all targets in the measured part, in seconds of a healthy backend server.
double capacityOf(const ModelOptions& options)
{
    const auto& faults = options.faults;
    const double measured = seconds(options.duration - options.measureFrom);
    const double cold = std::clamp(seconds(faults.coldUntil - options.measureFrom), 0.0, measured);
    const double slowLoss = measured * (1 - 1 / faults.slowFactor);
    const double coldLoss = cold * (1 - 1 / faults.coldFactor);
    return (measured * options.targets - slowLoss - coldLoss) * options.slots;
}

/// The callers and backend servers; what lies between them is left to the two versions.
class Model {
public:
    explicit Model(const ModelOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_faultRandom(options.seed + 1)
        , m_running(options.targets, 0)
    {
        m_result.capacitySeconds = capacityOf(options);
        m_ticks.resize(options.duration / modelTick + 1);
    }

    virtual ~Model() = default;

    ModelResult run()
    {
        start();
        for (const auto& workload : m_options.workloads)
            scheduleArrival(workload);
        m_clock.run(m_options.duration + std::chrono::minutes(2)); // all requests end by then
        for (const auto& [good, all] : m_ticks)
            m_result.inTimePerTick.push_back(all > 0 ? static_cast<double>(good) / static_cast<double>(all) : 1);
        return m_result;
    }

protected:
    virtual void start() { }
    virtual void arrive(std::uint32_t agent, ModelRequest& request) = 0;
    virtual void ended(std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome) = 0;

    std::uint32_t anyAgent() { return static_cast<std::uint32_t>(m_random() % m_options.targets); }

    std::uint32_t otherAgent() { return static_cast<std::uint32_t>(m_faultRandom() % m_options.targets); }

    /// Begins an attempt at the backend server beside an agent.
    void dispatch(std::uint32_t agent, ModelRequest& request)
    {
        if (m_running[agent]++ >= m_options.slots)
            ++m_result.aboveSlots;
        if (turnsAway()) {
            endAfter(shedDelay, agent, request, AttemptOutcome::NotRun);
            return;
        }
        if (request.refused)
            ++m_result.falseNotRun;
        if (++request.runs == 2 && !request.workload->idempotent)
            ++m_result.ranTwice;
        endAfter(timeAt(agent, request.serviceTime), agent, request, AttemptOutcome::Answered);
    }

    /// Ends an attempt before its time.
    void cancelAttempt(std::uint32_t agent, ModelRequest& request)
    {
        if (m_attempts.erase({ agent, request.id }) == 0)
            return;
        --m_running[agent];
        ended(agent, request, AttemptOutcome::Failed);
    }

    void answer(ModelRequest& request)
    {
        if (request.answered)
            return;
        request.answered = true;
        if (request.refused) {
            ++m_result.falseNotRun;
            return;
        }
        const bool inTime = m_clock.now() <= request.deadline;
        countTick(request, inTime);
        if (!request.measured)
            return;
        auto& figures = m_result.workloads[request.workload->name];
        figures.latencyMillis.push_back(seconds(m_clock.now() - request.arrived) * 1e3);
        if (!inTime) {
            ++m_result.late;
            return;
        }
        ++figures.inTime;
        figures.inTimeWithinRun += m_clock.now() <= m_options.duration ? seconds(request.serviceTime) : 0;
        figures.workInTimeSeconds += seconds(request.serviceTime);
    }

    void refuse(ModelRequest& request, request::RequestReason reason)
    {
        if (request.runs > 0)
            ++m_result.falseNotRun;
        request.refused = true;
        countTick(request, false);
        if (request.measured)
            ++m_result.refusedByReason[std::string(kernel::nameOf(reason))];
    }

    void endUnknown(ModelRequest& request)
    {
        if (request.answered)
            return;
        countTick(request, false);
        m_result.unknown += request.measured ? 1 : 0;
    }

    const ModelOptions m_options;
    Clock m_clock;
    std::mt19937_64 m_random; // arrivals only, so that both versions get the same ones
    std::mt19937_64 m_faultRandom;
    ModelResult m_result;

private:
    void scheduleArrival(const Workload& workload)
    {
        const double load = m_options.load(m_clock.now());
        const double capacity = static_cast<double>(m_options.targets) * m_options.slots;
        const double mean = seconds(workload.meanServiceTime) * stragglerMean(m_options.faults);
        const double rate = load * capacity * workload.shareOfWork / mean;
        const double gap = rate > 0 ? std::exponential_distribution<double>(rate)(m_random) : seconds(modelTick);
        const Time next = m_clock.now() + std::min(fromSeconds(gap), modelTick);
        if (next >= m_options.duration)
            return;
        // A gap longer than a tick is drawn anew, as the load may have changed; the distribution has no memory.
        const bool arrives = rate > 0 && gap <= seconds(modelTick);
        m_clock.at(next, [this, &workload, arrives] {
            if (arrives)
                makeRequest(workload);
            scheduleArrival(workload);
        });
    }

    void makeRequest(const Workload& workload)
    {
        auto& request = m_requests.emplace_back();
        request.id = m_requests.size();
        request.workload = &workload;
        request.arrived = m_clock.now();
        request.deadline = m_clock.now() + workload.deadline;
        const double sigma = workload.deviation;
        std::lognormal_distribution<double> time(
            std::log(seconds(workload.meanServiceTime)) - sigma * sigma / 2, sigma);
        const bool straggles = std::uniform_real_distribution<double>()(m_random) < m_options.faults.stragglerShare;
        request.serviceTime = fromSeconds(time(m_random) * (straggles ? m_options.faults.stragglerFactor : 1));
        request.measured = m_clock.now() >= m_options.measureFrom;
        ++m_ticks[request.arrived / modelTick].second;
        if (request.measured) {
            ++m_result.workloads[workload.name].arrived;
            m_result.offeredSeconds += seconds(request.serviceTime);
        }
        arrive(anyAgent(), request);
    }

    bool turnsAway()
    {
        const auto& faults = m_options.faults;
        if (m_clock.now() >= faults.downFrom && m_clock.now() < faults.downUntil)
            return true;
        return std::uniform_real_distribution<double>()(m_faultRandom) < faults.shedShare;
    }

    Time timeAt(std::uint32_t agent, Time serviceTime) const
    {
        const auto& faults = m_options.faults;
        double factor = agent == 1 ? faults.slowFactor : 1;
        if (agent == 2 && m_clock.now() < faults.coldUntil)
            factor *= faults.coldFactor;
        Time time = fromSeconds(seconds(serviceTime) * factor);
        if (m_clock.now() < faults.stallUntil && m_clock.now() + time > faults.stallFrom)
            time += faults.stallUntil - std::max(m_clock.now(), faults.stallFrom);
        return time;
    }

    void endAfter(Time time, std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome)
    {
        const auto attempt = ++m_lastAttempt;
        m_attempts[{ agent, request.id }] = attempt;
        m_clock.after(time, [this, agent, &request, outcome, attempt] {
            const auto found = m_attempts.find({ agent, request.id });
            if (found == m_attempts.end() || found->second != attempt)
                return;
            m_attempts.erase(found);
            --m_running[agent];
            ended(agent, request, outcome);
        });
    }

    void countTick(const ModelRequest& request, bool inTime)
    {
        m_ticks[request.arrived / modelTick].first += inTime ? 1 : 0;
    }

    std::deque<ModelRequest> m_requests; // by id - 1; references stay valid
    std::vector<std::uint32_t> m_running; // by agent
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::uint64_t> m_attempts; // by agent and request
    std::uint64_t m_lastAttempt = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_ticks; // in time, all
};

/// Agents with the real admission core, joined by messages that take `oneWay`.
class AdmissionVersion final : public Model {
public:
    explicit AdmissionVersion(const ModelOptions& options)
        : Model(options)
    {
    }

private:
    struct Agent {
        std::unique_ptr<request::AgentAdmission> admission;
        Time due = Time::max();
    };

    void start() override
    {
        m_agents.resize(m_options.targets);
        for (std::uint32_t index = 0; index < m_options.targets; ++index) {
            auto& admission = m_agents[index].admission;
            admission = std::make_unique<request::AgentAdmission>(m_options.admission, m_options.seed + index);
            std::vector<std::uint32_t> peers;
            for (std::uint32_t peer = 0; peer < m_options.targets; ++peer) {
                if (peer != index)
                    peers.push_back(peer);
            }
            admission->setPeers(peers);
            apply(index, admission->setSlots(m_options.slots, m_clock.now()));
        }
        spreadLoads();
    }

    void spreadLoads()
    {
        if (m_options.loadInterval == Time {} || m_clock.now() >= m_options.duration)
            return;
        for (std::uint32_t from = 0; from < m_options.targets; ++from) {
            for (std::uint32_t to = 0; to < m_options.targets; ++to)
                m_clock.after(m_options.oneWay, [this, from, to, load = loadOf(from)] {
                    m_agents[to].admission->updatePeerLoad(from, load, m_clock.now());
                });
        }
        m_clock.after(m_options.loadInterval, [this] { spreadLoads(); });
    }

    request::SlotLoad loadOf(std::uint32_t agent) const
    {
        if (agent == 0 && m_options.faults.lyingLoad)
            return { 0, 0, 0, m_options.slots };
        return m_agents[agent].admission->load();
    }

    static request::AdmissionRequest describe(const ModelRequest& request)
    {
        return { request.id, request.workload->method, request.workload->path, request.deadline,
            request.workload->priority, request.workload->idempotent, false, false };
    }

    void arrive(std::uint32_t agent, ModelRequest& request) override
    {
        m_origins[request.id] = { &request, agent };
        apply(agent, m_agents[agent].admission->submit(describe(request), m_clock.now()));
    }

    void ended(std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome) override
    {
        if (outcome == AttemptOutcome::Answered) {
            const bool elsewhere = agent != m_origins[request.id].second;
            m_clock.after(elsewhere ? m_options.oneWay : Time {}, [this, &request] { answer(request); });
            cancelCopy(agent, request.id);
        }
        apply(agent, m_agents[agent].admission->finish(request.id, outcome, m_clock.now()));
    }

    void apply(std::uint32_t agent, const request::AdmissionActions& actions)
    {
        for (const auto& action : actions) {
            auto& request = *m_origins[action.id].first;
            switch (action.kind) {
            case AdmissionActionKind::Dispatch:
                dispatch(agent, request);
                break;
            case AdmissionActionKind::Offer:
            case AdmissionActionKind::Hedge:
                sendOffer(agent, action, request);
                break;
            case AdmissionActionKind::Refuse:
                refuse(request, action.reason);
                break;
            case AdmissionActionKind::Fail:
                endUnknown(request);
                break;
            case AdmissionActionKind::Cancel:
                cancelAttempt(agent, request);
                endUnknown(request);
                break;
            }
        }
        schedule(agent);
    }

    void sendOffer(std::uint32_t agent, const request::AdmissionAction& action, ModelRequest& request)
    {
        const bool hedge = action.kind == AdmissionActionKind::Hedge;
        ++(hedge ? m_result.retriesAndHedges : m_result.offers);
        if (hedge)
            m_hedges[request.id] = action.peer;
        m_clock.after(m_options.oneWay,
            [this, agent, hedge, peer = action.peer, mayHaveRun = action.mayHaveRun, load = loadOf(agent), &request] {
                m_agents[peer].admission->updatePeerLoad(agent, load, m_clock.now());
                auto description = describe(request);
                description.offered = true;
                description.mayHaveRun = mayHaveRun;
                const auto answer = m_agents[peer].admission->submit(description, m_clock.now());
                const bool taken = answer.front().kind == AdmissionActionKind::Dispatch;
                if (taken)
                    apply(peer, answer);
                if (hedge)
                    return;
                m_result.offersTaken += taken ? 1 : 0;
                m_clock.after(m_options.oneWay, [this, agent, peer, taken, load = loadOf(peer), &request] {
                    m_agents[agent].admission->updatePeerLoad(peer, load, m_clock.now());
                    apply(agent, m_agents[agent].admission->handleOfferReply(request.id, taken, m_clock.now()));
                });
            });
    }

    // The first answer of two counts.
    void cancelCopy(std::uint32_t answeredBy, std::uint64_t id)
    {
        const auto hedge = m_hedges.find(id);
        if (hedge == m_hedges.end())
            return;
        const std::uint32_t origin = m_origins[id].second;
        const std::uint32_t other = answeredBy == origin ? hedge->second : origin;
        m_clock.after(m_options.oneWay,
            [this, other, id] { apply(other, m_agents[other].admission->cancel(id, m_clock.now())); });
    }

    void schedule(std::uint32_t index)
    {
        auto& agent = m_agents[index];
        const Time due = agent.admission->nextDue(m_clock.now());
        if (due >= agent.due)
            return;
        agent.due = due;
        m_clock.at(due, [this, index, due] {
            auto& agent = m_agents[index];
            if (agent.due != due)
                return; // an earlier one has been scheduled since
            agent.due = Time::max();
            apply(index, agent.admission->advance(m_clock.now()));
        });
    }

    std::vector<Agent> m_agents;
    std::unordered_map<std::uint64_t, std::uint32_t> m_hedges; // the peer, by request
    std::unordered_map<std::uint64_t, std::pair<ModelRequest*, std::uint32_t>> m_origins;
};

/// See runNaive.
class NaiveVersion final : public Model {
public:
    explicit NaiveVersion(const ModelOptions& options)
        : Model(options)
        , m_queues(options.targets)
        , m_free(options.targets, options.slots)
    {
    }

private:
    void arrive(std::uint32_t agent, ModelRequest& request) override { attempt(agent, request, naiveRetries); }

    void attempt(std::uint32_t agent, ModelRequest& request, int retriesLeft)
    {
        m_queues[agent].push_back(&request);
        serveQueue(agent);
        if (retriesLeft == 0)
            return;
        m_clock.after((request.deadline - request.arrived) / 2, [this, &request, retriesLeft] {
            if (request.answered)
                return;
            ++m_result.retriesAndHedges;
            attempt(otherAgent(), request, retriesLeft - 1);
        });
    }

    void ended(std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome) override
    {
        ++m_free[agent];
        if (outcome == AttemptOutcome::Answered)
            answer(request);
        else
            retryBlindly(request);
        serveQueue(agent);
    }

    void retryBlindly(ModelRequest& request)
    {
        ++m_result.retriesAndHedges;
        m_clock.after(naiveRetryDelay, [this, &request] {
            const auto agent = otherAgent();
            m_queues[agent].push_back(&request);
            serveQueue(agent);
        });
    }

    void serveQueue(std::uint32_t agent)
    {
        auto& queue = m_queues[agent];
        while (m_free[agent] > 0 && !queue.empty()) {
            auto& request = *queue.front();
            queue.pop_front();
            --m_free[agent];
            dispatch(agent, request);
        }
    }

    std::vector<std::deque<ModelRequest*>> m_queues; // by agent
    std::vector<std::uint32_t> m_free; // slots by agent
};

} // namespace

double ModelResult::goodputSeconds() const
{
    double sum = 0;
    for (const auto& [name, figures] : workloads)
        sum += figures.workInTimeSeconds;
    return sum;
}

double ModelResult::percentileMillis(const std::string& workload, double percentile) const
{
    const auto found = workloads.find(workload);
    if (found == workloads.end() || found->second.latencyMillis.empty())
        return 0;
    auto sorted = found->second.latencyMillis;
    const auto rank = static_cast<std::size_t>(percentile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
    return sorted[rank];
}

nlohmann::json ModelResult::figures() const
{
    nlohmann::json json { { "goodput_ratio", goodputSeconds() / std::min(capacitySeconds, offeredSeconds) },
        { "offered_ratio", offeredSeconds / capacitySeconds }, { "refused_by_reason", refusedByReason },
        { "late", late }, { "unknown", unknown }, { "ran_twice", ranTwice }, { "false_not_run", falseNotRun },
        { "above_slots", aboveSlots }, { "offers", offers }, { "offers_taken", offersTaken },
        { "retries_and_hedges", retriesAndHedges } };
    for (const auto& [name, figures] : workloads) {
        json[name + "_p50_ms"] = percentileMillis(name, 0.5);
        json[name + "_p99_ms"] = percentileMillis(name, 0.99);
        json[name + "_in_time_ratio"]
            = static_cast<double>(figures.inTime) / static_cast<double>(std::max<std::uint64_t>(1, figures.arrived));
    }
    return json;
}

ModelResult runWithAdmission(const ModelOptions& options) { return AdmissionVersion(options).run(); }

ModelResult runNaive(const ModelOptions& options) { return NaiveVersion(options).run(); }

} // namespace yuccahook::bench
