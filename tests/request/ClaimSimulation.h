#pragma once

#include "request/ClaimTable.h"
#include "request/RequestMachine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace yuccahook::request {

/// A fault put into the simulated agents or network on purpose, which the checker must find.
enum class Mutation { None, NoClaim, BlindRetry, CrossedAnswers, TruncatedAnswers, EmptyRegistration, FalseNotRun };

struct SimulationOptions {
    std::uint64_t seed = 1;
    Mutation mutation = Mutation::None;
    std::size_t agents = 5;
    std::size_t keys = 60;
    Time faultsEnd = std::chrono::seconds(25);
    Time end = std::chrono::seconds(45);
};

/// What a history shows.
struct HistoryFindings {
    std::uint64_t ranTwice = 0; ///< Keys that a backend server ran more than once.
    std::uint64_t falseNotRun = 0; ///< Sendings told "not run" that are in a backend server's record.
    std::uint64_t wrongAnswers = 0; ///< Answers of another request or not whole.
    std::uint64_t lostAnswers = 0; ///< Answers to keys that no backend server's record holds.
    std::uint64_t unsettled = 0; ///< Keys that were neither answered nor told "unknown" long after the last fault.
    std::uint64_t reuseTaken = 0; ///< Keys that stood for one body and served another, or were refused without one.
    std::uint64_t answered = 0;
    std::uint64_t repeated = 0;
    std::uint64_t unknown = 0;
    std::uint64_t notRun = 0;
    std::uint64_t crashes = 0;
    std::uint64_t cuts = 0;

    bool clean() const { return ranTwice + falseNotRun + wrongAnswers + lostAnswers + unsettled + reuseTaken == 0; }
};

/// Agents of one service with their backend servers, a control instance that publishes members late and unevenly, and
/// callers that resend, under virtual time. Messages between agents are lost, late and repeated; agents crash, are cut
/// off and restart, two at most at a time; backend servers crash during requests.
class ClaimSimulation {
public:
    explicit ClaimSimulation(const SimulationOptions& options);
    ~ClaimSimulation();

    HistoryFindings run();

private:
    struct Agent;
    struct Caller;
    struct Sending;

    /// A line of a backend server's record.
    struct Run {
        std::string key;
        std::uint64_t sending = 0;
        bool otherBody = false;
    };

    void at(Time delay, std::function<void()> work);
    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
    bool chance(std::uint64_t percent) { return below(100) < percent; }
    Time millis(std::uint64_t from, std::uint64_t to) { return std::chrono::milliseconds(from + below(to - from)); }

    void publish();
    void start(std::size_t index);
    void stop(std::size_t index);
    void rejoin(std::size_t index);
    void breakSomething();
    void tick(std::size_t index, std::uint64_t life);
    void flush(Agent& agent);
    void deliver(const ClaimTable::Outgoing& outgoing);
    void send(std::size_t caller, bool otherBody);
    void decide(Agent& agent, const ClaimDecision& decision);
    void dispatch(std::size_t index, std::uint64_t life, std::shared_ptr<Sending> sending, bool again);
    void complete(std::size_t index, std::uint64_t life, std::shared_ptr<Sending> sending, const std::string& body);
    void reply(const std::shared_ptr<Sending>& sending, const std::string& body);
    bool runOfOther(const std::string& key) const;
    void check();

    const SimulationOptions m_options;
    std::mt19937_64 m_random;
    Time m_now {};
    std::multimap<Time, std::function<void()>> m_events;
    std::uint64_t m_revision = 0;
    std::uint32_t m_lastMember = 0;
    std::map<std::uint32_t, std::size_t> m_members; // by member id: the agent
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::vector<Caller> m_callers;
    std::vector<Run> m_record; // of the backend servers
    std::vector<std::uint64_t> m_notRun; // sendings
    std::uint64_t m_lastSending = 0;
    std::string m_lastAnswer;
    std::vector<Time> m_losses; // when agents were lost
    HistoryFindings m_findings;
};

} // namespace yuccahook::request
