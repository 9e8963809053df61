#pragma once

#include "request/ClaimTable.h"
#include "request/RequestStateMachine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace yuccahook::request {

/// A fault injected into the simulated agents or network, which the checker must detect.
enum class Mutation { None, NoClaim, BlindRetry, CrossedAnswers, TruncatedAnswers, EmptyCollection, FalseNotRun };

struct SimulationOptions {
    std::uint64_t seed = 1;
    Mutation mutation = Mutation::None;
    std::size_t agents = 5;
    std::size_t keys = 60;
    Time faultsEnd = std::chrono::seconds(25);
    Time end = std::chrono::seconds(45);
};

/// The violations and counts that the checker found in a history.
struct HistoryFindings {
    std::uint64_t ranTwice = 0; ///< Keys that a backend server ran more than once.
    std::uint64_t falseNotRun = 0; ///< Submissions reported as "not run" that a backend server ran.
    std::uint64_t wrongAnswers = 0; ///< Answers that belong to another request or are truncated.
    std::uint64_t lostAnswers = 0; ///< Answers to keys that no backend server ran.
    std::uint64_t unresolved = 0; ///< Keys neither answered nor reported as "unknown" long after the last fault.
    /// Keys bound to one body but answered for another, or refused as reused without a second body.
    std::uint64_t reuseViolations = 0;
    std::uint64_t answered = 0;
    std::uint64_t repeated = 0;
    std::uint64_t unknown = 0;
    std::uint64_t notRun = 0;
    std::uint64_t crashes = 0;
    std::uint64_t partitions = 0;

    bool clean() const
    {
        return ranTwice + falseNotRun + wrongAnswers + lostAnswers + unresolved + reuseViolations == 0;
    }
};

/// Simulates agents of one service with their backend servers, a control instance that publishes members late and at
/// different times, and callers that submit requests repeatedly, in virtual time. Messages between agents are lost,
/// delayed and duplicated; agents crash, are partitioned and restart, at most two in six seconds; connections to
/// backend servers are lost during requests.
class ClaimSimulation {
public:
    explicit ClaimSimulation(const SimulationOptions& options);
    ~ClaimSimulation();

    HistoryFindings run();

private:
    struct Agent;
    struct Caller;
    struct Submission;

    /// One run of a request at a backend server.
    struct Run {
        std::string key;
        std::uint64_t submission = 0;
        bool otherBody = false;
    };

    void after(Time delay, std::function<void()> work);
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    bool chance(std::uint64_t percent) { return below(100) < percent; }
    Time millis(std::uint64_t from, std::uint64_t to) { return std::chrono::milliseconds(from + below(to - from)); }

    void publish();
    void start(std::size_t index);
    void stop(std::size_t index);
    void rejoin(std::size_t index);
    void injectFault();
    void tick(std::size_t index, std::uint64_t incarnation);
    void flush(Agent& agent);
    void deliver(const ClaimTable::Outgoing& outgoing);
    void send(std::size_t caller, bool otherBody);
    void decide(Agent& agent, const ClaimDecision& decision);
    void dispatch(std::size_t index, std::uint64_t incarnation, std::shared_ptr<Submission> submission, bool again);
    void complete(
        std::size_t index, std::uint64_t incarnation, std::shared_ptr<Submission> submission, const std::string& body);
    void reply(const std::shared_ptr<Submission>& submission, const std::string& body);
    bool runOfOther(const std::string& key) const;
    void check();

    const SimulationOptions m_options;
    std::mt19937_64 m_random;
    Time m_now {};
    std::multimap<Time, std::function<void()>> m_events;
    std::uint64_t m_revision = 0;
    std::uint32_t m_lastMember = 0;
    std::map<std::uint32_t, std::size_t> m_members; // agent index by member id
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::vector<Caller> m_callers;
    std::vector<Run> m_record; // all runs at the backend servers
    std::vector<std::uint64_t> m_notRun; // submissions reported as "not run", by id
    std::uint64_t m_lastSubmission = 0;
    std::string m_lastAnswer;
    std::vector<Time> m_lossTimes; // when agents crashed or were partitioned
    HistoryFindings m_findings;
};

} // namespace yuccahook::request
