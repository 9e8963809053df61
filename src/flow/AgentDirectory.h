#pragma once

#include "flow/Membership.h"
#include "flow/OutlierDetector.h"
#include "flow/PacketEnvelope.h"
#include "flow/PlacementPolicy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccahook::flow {

/// A hash of a failure domain's name that is the same at every instance.
std::uint32_t domainHash(std::string_view domain);

/// How many agents of each service an instance follows, that is, has send it their load. Bounds the reports that a
/// process sends and receives, whatever the number of agents.
struct FollowLimits {
    std::size_t local = 0; ///< In the instance's failure domain.
    std::size_t remote = 0; ///< In the other failure domains.
};

/// Whether an instance judges the backend servers of agents that it knows.
enum class OutlierMode : std::uint8_t {
    Off,
    Avoid, ///< New flows go to outliers last.
    AvoidAndTry ///< Outliers also get a small share of the new flows, which shows whether they have recovered.
};

/// The agents of packet services with the load that each last reported. Chooses the agent for a new flow.
///
/// Only a sample of the agents is followed where a service has many. It is another one at each instance, and changes
/// slowly.
class AgentDirectory {
public:
    /// An agent and its last known load.
    struct Agent {
        std::uint32_t member = 0;
        std::uint32_t service = 0;
        PacketEndpoint trunk;
        std::string domain;
        bool isLocal = false; ///< In this instance's failure domain.
        bool isEvacuated = false; ///< In an evacuated failure domain, so it gets no new flows.
        bool isFollowed = false;
        MemberState state = MemberState::Ready;
        AgentLoad load; ///< As last reported, plus the flows sent to the agent since.
        std::optional<std::uint64_t> lastReportMillis; ///< When the last report arrived; not set before the first.
    };

    /// An agent and its place in the order of choice for a new flow.
    struct Placement {
        const Agent* agent = nullptr;
        PlacementRank rank;
    };

    /// The share of a service's new flows that each outlier gets, relative to an equal share for all known agents. With
    /// 35 requests per second at a server, 16 requests have replaced the evidence after 5 s.
    static constexpr double trialShare = 0.1;

    AgentDirectory(
        std::string domain, std::uint64_t seed, FollowLimits limits, OutlierMode outlierMode = OutlierMode::Off);

    /// Replaces the agents. Those that remain keep their reported load.
    void setMembership(const Membership& membership, std::uint64_t nowMillis);

    /// Chooses the agents to follow from now on.
    void chooseFollowed(std::uint64_t nowMillis);

    /// Records an agent's load report. Returns false if no agent has that trunk address.
    bool recordLoad(const PacketEndpoint& trunk, const AgentLoad& load, std::uint64_t nowMillis);

    /// Counts a flow that was sent to an agent as busy until the agent's next report.
    void addFlow(const PacketEndpoint& trunk);

    /// Tells whether an agent may be chosen.
    using Filter = std::function<bool(const Agent& agent)>;

    /// Chooses the agent for a new flow of a service by PlacementPolicy, leaving out the `excluded` members and those
    /// that the filter does not allow. Null if the service has no other agent outside the evacuated failure domains.
    const Agent* choose(std::uint32_t service, const std::vector<std::uint32_t>& excluded, std::uint64_t nowMillis,
        const Filter& isAllowed = nullptr);

    /// Whether a service has an agent in an evacuated failure domain.
    bool hasEvacuated(std::uint32_t service) const;

    /// The agents of a service as choose() compares them, in no particular order.
    std::vector<Placement> placements(std::uint32_t service, const std::vector<std::uint32_t>& excluded,
        std::uint64_t nowMillis, const Filter& isAllowed = nullptr);

    bool isOutlier(const Agent& agent, std::uint64_t nowMillis) const
    {
        return m_outliers.isOutlier(agent.member, nowMillis);
    }

    /// Number of agents that are judged to be outliers.
    std::size_t outliers() const { return m_outliers.outliers(); }

    /// The agent with that trunk address, or null.
    const Agent* findByTrunk(const PacketEndpoint& trunk) const;
    const std::vector<Agent>& agents() const { return m_agents; }

    /// Whether the agent's last load report is recent enough to rely on.
    static bool hasRecentReport(const Agent& agent, std::uint64_t nowMillis);

private:
    static std::optional<PlacementReason> exclusionOf(
        const Agent& agent, const std::vector<std::uint32_t>& excluded, const Filter& isAllowed);
    PlacementRank rankOf(const Agent& agent, const std::vector<std::uint32_t>& excluded, std::uint64_t nowMillis,
        const Filter& isAllowed) const;
    void judgeOutliers(std::uint64_t nowMillis);
    const Agent* chooseTrial(std::uint32_t service, std::uint64_t nowMillis, const Filter& isAllowed);

    std::uint64_t sampleOrder(const Agent& agent, std::uint64_t nowMillis) const;

    const std::string m_domain;
    const FollowLimits m_followLimits;
    const std::uint64_t m_seed;
    const OutlierMode m_outlierMode;
    OutlierDetector m_outliers;
    std::uint64_t m_lastJudgeMillis = 0;
    std::mt19937_64 m_random;
    std::vector<Agent> m_agents;
    std::unordered_map<PacketEndpoint, std::size_t> m_byTrunk;
};

} // namespace yuccahook::flow
