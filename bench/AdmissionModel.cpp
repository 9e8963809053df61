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
constexpr int naiveMaximumRetries = 2;
constexpr Time naiveRetryDelay = std::chrono::milliseconds(10);

// Factor by which stragglers raise the mean service time.
double stragglerMeanFactor(const ModelFaults& faults)
{
    return 1 + faults.stragglerShare * (faults.stragglerFactor - 1);
}

double seconds(Time time) { return std::chrono::duration<double>(time).count(); }

Time fromSeconds(double value) { return Time(static_cast<Time::rep>(value * 1e9)); }

/// A virtual clock that runs scheduled actions by time, and by order of scheduling at the same time.
class VirtualClock {
public:
    Time now() const { return m_now; }

    void scheduleAt(Time time, std::function<void()> action)
    {
        m_events.push({ std::max(time, m_now), m_sequence++, std::move(action) });
    }

    void scheduleAfter(Time delay, std::function<void()> action) { scheduleAt(m_now + delay, std::move(action)); }

    void run(Time until)
    {
        while (!m_events.empty() && m_events.top().time <= until) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

private:
    struct Event {
        Time time;
        std::uint64_t sequence;
        std::function<void()> action;

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

// Slot time in seconds of all targets in the measured part. Time at a slow or cold backend server counts as the time
// that a healthy one needs for the same requests.
double capacityOf(const ModelOptions& options)
{
    const auto& faults = options.faults;
    const double measured = seconds(options.duration - options.measureFrom);
    const double cold = std::clamp(seconds(faults.coldUntil - options.measureFrom), 0.0, measured);
    const double slowLoss = measured * (1 - 1 / faults.slowFactor);
    const double coldLoss = cold * (1 - 1 / faults.coldFactor);
    return (measured * options.targets - slowLoss - coldLoss) * options.slots;
}

/// Simulates the callers and the backend servers. Derived classes decide where and when requests are dispatched.
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
        m_clock.run(m_options.duration + std::chrono::minutes(2)); // by then, all requests have ended
        for (const auto& [inTime, all] : m_ticks)
            m_result.inTimePerTick.push_back(all > 0 ? static_cast<double>(inTime) / static_cast<double>(all) : 1);
        return m_result;
    }

protected:
    virtual void start() { }
    virtual void handleArrival(std::uint32_t agent, ModelRequest& request) = 0;
    virtual void handleAttemptEnd(std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome) = 0;

    std::uint32_t randomEntryAgent() { return static_cast<std::uint32_t>(m_random() % m_options.targets); }

    std::uint32_t randomRetryAgent() { return static_cast<std::uint32_t>(m_faultRandom() % m_options.targets); }

    /// Starts an attempt at the backend server of an agent.
    void dispatch(std::uint32_t agent, ModelRequest& request)
    {
        if (m_running[agent]++ >= m_options.slots)
            ++m_result.aboveSlots;
        if (shedsAttempt()) {
            scheduleAttemptEnd(shedDelay, agent, request, AttemptOutcome::NotRun);
            return;
        }
        if (request.refused)
            ++m_result.falseNotRun;
        if (++request.runs == 2 && !request.workload->idempotent)
            ++m_result.ranTwice;
        scheduleAttemptEnd(durationAt(agent, request.serviceTime), agent, request, AttemptOutcome::Answered);
    }

    /// Ends a running attempt without an answer. Does nothing if the attempt has already ended.
    void cancelAttempt(std::uint32_t agent, ModelRequest& request)
    {
        if (m_attempts.erase({ agent, request.id }) == 0)
            return;
        --m_running[agent];
        handleAttemptEnd(agent, request, AttemptOutcome::Failed);
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
        countArrivalOutcome(request, inTime);
        if (!request.measured)
            return;
        auto& figures = m_result.workloads[request.workload->name];
        figures.latencyMillis.push_back(seconds(m_clock.now() - request.arrived) * 1e3);
        if (!inTime) {
            ++m_result.late;
            return;
        }
        ++figures.inTime;
        figures.inTimeServiceSecondsInRun += m_clock.now() <= m_options.duration ? seconds(request.serviceTime) : 0;
        figures.inTimeServiceSeconds += seconds(request.serviceTime);
    }

    void refuse(ModelRequest& request, request::RequestReason reason)
    {
        if (request.runs > 0)
            ++m_result.falseNotRun;
        request.refused = true;
        countArrivalOutcome(request, false);
        if (request.measured)
            ++m_result.refusedByReason[std::string(kernel::nameOf(reason))];
    }

    void endUnknown(ModelRequest& request)
    {
        if (request.answered)
            return;
        countArrivalOutcome(request, false);
        m_result.unknown += request.measured ? 1 : 0;
    }

    const ModelOptions m_options;
    VirtualClock m_clock;
    std::mt19937_64 m_random; // for arrivals only, so that both models get the same ones
    std::mt19937_64 m_faultRandom; // for shed attempts and for retries
    ModelResult m_result;

private:
    void scheduleArrival(const Workload& workload)
    {
        const double load = m_options.load(m_clock.now());
        const double capacity = static_cast<double>(m_options.targets) * m_options.slots;
        const double mean = seconds(workload.meanServiceTime) * stragglerMeanFactor(m_options.faults);
        const double rate = load * capacity * workload.loadShare / mean;
        const double gapSeconds = rate > 0 ? std::exponential_distribution<double>(rate)(m_random) : seconds(modelTick);
        const Time next = m_clock.now() + std::min(fromSeconds(gapSeconds), modelTick);
        if (next >= m_options.duration)
            return;
        // A gap longer than a tick is drawn again, because the load may have changed. This leaves the distribution of
        // the gaps as it is: the exponential distribution is memoryless.
        const bool arrives = rate > 0 && gapSeconds <= seconds(modelTick);
        m_clock.scheduleAt(next, [this, &workload, arrives] {
            if (arrives)
                createRequest(workload);
            scheduleArrival(workload);
        });
    }

    void createRequest(const Workload& workload)
    {
        auto& request = m_requests.emplace_back();
        request.id = m_requests.size();
        request.workload = &workload;
        request.arrived = m_clock.now();
        request.deadline = m_clock.now() + workload.deadline;
        const double deviation = workload.deviation;
        std::lognormal_distribution<double> time(
            std::log(seconds(workload.meanServiceTime)) - deviation * deviation / 2, deviation);
        const bool straggles = std::uniform_real_distribution<double>()(m_random) < m_options.faults.stragglerShare;
        request.serviceTime = fromSeconds(time(m_random) * (straggles ? m_options.faults.stragglerFactor : 1));
        request.measured = m_clock.now() >= m_options.measureFrom;
        ++m_ticks[request.arrived / modelTick].second;
        if (request.measured) {
            ++m_result.workloads[workload.name].arrived;
            m_result.offeredSeconds += seconds(request.serviceTime);
        }
        handleArrival(randomEntryAgent(), request);
    }

    bool shedsAttempt()
    {
        const auto& faults = m_options.faults;
        if (m_clock.now() >= faults.downFrom && m_clock.now() < faults.downUntil)
            return true;
        return std::uniform_real_distribution<double>()(m_faultRandom) < faults.shedShare;
    }

    Time durationAt(std::uint32_t agent, Time serviceTime) const
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

    void scheduleAttemptEnd(Time time, std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome)
    {
        const auto attempt = ++m_lastAttempt;
        m_attempts[{ agent, request.id }] = attempt;
        m_clock.scheduleAfter(time, [this, agent, &request, outcome, attempt] {
            const auto found = m_attempts.find({ agent, request.id });
            if (found == m_attempts.end() || found->second != attempt)
                return;
            m_attempts.erase(found);
            --m_running[agent];
            handleAttemptEnd(agent, request, outcome);
        });
    }

    void countArrivalOutcome(const ModelRequest& request, bool inTime)
    {
        m_ticks[request.arrived / modelTick].first += inTime ? 1 : 0;
    }

    std::deque<ModelRequest> m_requests; // indexed by id - 1; a deque keeps references valid
    std::vector<std::uint32_t> m_running; // by agent
    // Attempt numbers by agent and request id.
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::uint64_t> m_attempts;
    std::uint64_t m_lastAttempt = 0;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_ticks; // for each modelTick: requests in time, all requests
};

/// Agents with request::AgentAdmission. Messages between them take `oneWay`.
class AdmissionCoreModel final : public Model {
public:
    explicit AdmissionCoreModel(const ModelOptions& options)
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
        sendLoadReports();
    }

    void sendLoadReports()
    {
        if (m_options.loadInterval == Time {} || m_clock.now() >= m_options.duration)
            return;
        for (std::uint32_t from = 0; from < m_options.targets; ++from) {
            for (std::uint32_t to = 0; to < m_options.targets; ++to)
                m_clock.scheduleAfter(m_options.oneWay, [this, from, to, load = loadOf(from)] {
                    m_agents[to].admission->updatePeerLoad(from, load, m_clock.now());
                });
        }
        m_clock.scheduleAfter(m_options.loadInterval, [this] { sendLoadReports(); });
    }

    request::SlotLoad loadOf(std::uint32_t agent) const
    {
        if (agent == 0 && m_options.faults.lyingLoad)
            return { 0, 0, 0, m_options.slots };
        return m_agents[agent].admission->load();
    }

    static request::AdmissionRequest toAdmissionRequest(const ModelRequest& request)
    {
        return { request.id, request.workload->method, request.workload->path, request.deadline,
            request.workload->priority, request.workload->idempotent, false, false };
    }

    void handleArrival(std::uint32_t agent, ModelRequest& request) override
    {
        m_origins[request.id] = { &request, agent };
        apply(agent, m_agents[agent].admission->submit(toAdmissionRequest(request), m_clock.now()));
    }

    void handleAttemptEnd(std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome) override
    {
        if (outcome == AttemptOutcome::Answered) {
            const bool onPeer = agent != m_origins[request.id].second;
            m_clock.scheduleAfter(onPeer ? m_options.oneWay : Time {}, [this, &request] { answer(request); });
            cancelOtherAttempt(agent, request.id);
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
        scheduleAdvance(agent);
    }

    void sendOffer(std::uint32_t agent, const request::AdmissionAction& action, ModelRequest& request)
    {
        const bool hedge = action.kind == AdmissionActionKind::Hedge;
        ++(hedge ? m_result.retriesAndHedges : m_result.offers);
        if (hedge)
            m_hedges[request.id] = action.peer;
        m_clock.scheduleAfter(m_options.oneWay,
            [this, agent, hedge, peer = action.peer, mayHaveRun = action.mayHaveRun, load = loadOf(agent), &request] {
                m_agents[peer].admission->updatePeerLoad(agent, load, m_clock.now());
                auto description = toAdmissionRequest(request);
                description.offered = true;
                description.mayHaveRun = mayHaveRun;
                const auto answer = m_agents[peer].admission->submit(description, m_clock.now());
                const bool accepted = answer.front().kind == AdmissionActionKind::Dispatch;
                if (accepted)
                    apply(peer, answer);
                if (hedge)
                    return;
                m_result.offersTaken += accepted ? 1 : 0;
                m_clock.scheduleAfter(m_options.oneWay, [this, agent, peer, accepted, load = loadOf(peer), &request] {
                    m_agents[agent].admission->updatePeerLoad(peer, load, m_clock.now());
                    apply(agent, m_agents[agent].admission->handleOfferReply(request.id, accepted, m_clock.now()));
                });
            });
    }

    // Cancels the other of two attempts of a hedged request once one is answered.
    void cancelOtherAttempt(std::uint32_t answeredBy, std::uint64_t id)
    {
        const auto hedge = m_hedges.find(id);
        if (hedge == m_hedges.end())
            return;
        const std::uint32_t origin = m_origins[id].second;
        const std::uint32_t other = answeredBy == origin ? hedge->second : origin;
        m_clock.scheduleAfter(m_options.oneWay,
            [this, other, id] { apply(other, m_agents[other].admission->cancel(id, m_clock.now())); });
    }

    void scheduleAdvance(std::uint32_t index)
    {
        auto& agent = m_agents[index];
        const Time due = agent.admission->nextDue(m_clock.now());
        if (due >= agent.due)
            return;
        agent.due = due;
        m_clock.scheduleAt(due, [this, index, due] {
            auto& agent = m_agents[index];
            if (agent.due != due)
                return; // replaced by an earlier one
            agent.due = Time::max();
            apply(index, agent.admission->advance(m_clock.now()));
        });
    }

    std::vector<Agent> m_agents;
    std::unordered_map<std::uint64_t, std::uint32_t> m_hedges; // peer that the hedge was sent to, by request id
    // Request and entry agent, by request id.
    std::unordered_map<std::uint64_t, std::pair<ModelRequest*, std::uint32_t>> m_origins;
};

/// The baseline that runNaive() describes.
class NaiveModel final : public Model {
public:
    explicit NaiveModel(const ModelOptions& options)
        : Model(options)
        , m_queues(options.targets)
        , m_freeSlots(options.targets, options.slots)
    {
    }

private:
    void handleArrival(std::uint32_t agent, ModelRequest& request) override
    {
        enqueueWithRetries(agent, request, naiveMaximumRetries);
    }

    void enqueueWithRetries(std::uint32_t agent, ModelRequest& request, int retriesLeft)
    {
        m_queues[agent].push_back(&request);
        serveQueue(agent);
        if (retriesLeft == 0)
            return;
        m_clock.scheduleAfter((request.deadline - request.arrived) / 2, [this, &request, retriesLeft] {
            if (request.answered)
                return;
            ++m_result.retriesAndHedges;
            enqueueWithRetries(randomRetryAgent(), request, retriesLeft - 1);
        });
    }

    void handleAttemptEnd(std::uint32_t agent, ModelRequest& request, AttemptOutcome outcome) override
    {
        ++m_freeSlots[agent];
        if (outcome == AttemptOutcome::Answered)
            answer(request);
        else
            retryAtRandomAgent(request);
        serveQueue(agent);
    }

    void retryAtRandomAgent(ModelRequest& request)
    {
        ++m_result.retriesAndHedges;
        m_clock.scheduleAfter(naiveRetryDelay, [this, &request] {
            const auto agent = randomRetryAgent();
            m_queues[agent].push_back(&request);
            serveQueue(agent);
        });
    }

    void serveQueue(std::uint32_t agent)
    {
        auto& queue = m_queues[agent];
        while (m_freeSlots[agent] > 0 && !queue.empty()) {
            auto& request = *queue.front();
            queue.pop_front();
            --m_freeSlots[agent];
            dispatch(agent, request);
        }
    }

    std::vector<std::deque<ModelRequest*>> m_queues; // by agent
    std::vector<std::uint32_t> m_freeSlots; // by agent
};

} // namespace

double ModelResult::goodputSeconds() const
{
    double sum = 0;
    for (const auto& [name, figures] : workloads)
        sum += figures.inTimeServiceSeconds;
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

nlohmann::json ModelResult::toJson() const
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

ModelResult runWithAdmission(const ModelOptions& options) { return AdmissionCoreModel(options).run(); }

ModelResult runNaive(const ModelOptions& options) { return NaiveModel(options).run(); }

} // namespace yuccahook::bench
