#include "flow/AgentDirectory.h"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace yuccahook::flow {

namespace {

// An agent counts as silent once its last load report is older. Each limit spans several report intervals; see
// PacketAgentLoad.cpp.
constexpr std::uint64_t localReportTimeoutMillis = 700;
constexpr std::uint64_t remoteReportTimeoutMillis = 1600;
constexpr std::uint64_t judgeIntervalMillis = 100; // figures change by one of 16 requests at a time
constexpr std::uint64_t sampleMillis = 20'000; // how long an agent keeps its place in the sample; many times a report

} // namespace

std::uint32_t domainHash(std::string_view domain) { return XXH32(domain.data(), domain.size(), 0); }

AgentDirectory::AgentDirectory(std::string domain, std::uint64_t seed, FollowLimits limits, OutlierMode outlierMode)
    : m_domain(std::move(domain))
    , m_followLimits(limits)
    , m_seed(seed)
    , m_outlierMode(outlierMode)
    , m_random(seed)
{
}

void AgentDirectory::setMembership(const Membership& membership, std::uint64_t nowMillis)
{
    const auto before = std::exchange(m_agents, {});
    for (const auto& member : membership.members) {
        const auto* service = membership.service(member.service);
        if (!service || service->protocol != Protocol::Packet)
            continue;
        Agent& agent = m_agents.emplace_back();
        const auto known = std::lower_bound(before.begin(), before.end(), member.id,
            [](const Agent& other, std::uint32_t id) { return other.member < id; });
        if (known != before.end() && known->member == member.id)
            agent = *known;
        agent.member = member.id;
        agent.service = member.service;
        agent.trunk = PacketEndpoint::of(member.trunk);
        agent.domain = member.domain;
        agent.isLocal = member.domain == m_domain;
        agent.isEvacuated = membership.isEvacuated(member.domain);
        agent.state = member.state;
    }
    m_byTrunk.clear();
    for (std::size_t index = 0; index < m_agents.size(); ++index)
        m_byTrunk[m_agents[index].trunk] = index; // a later member replaces an earlier one with the same address
    chooseFollowed(nowMillis);
}

// Lower comes first. Changes once in `sampleMillis`, at another moment for each agent.
std::uint64_t AgentDirectory::sampleOrder(const Agent& agent, std::uint64_t nowMillis) const
{
    const std::uint64_t phaseMillis = XXH64(&agent.member, sizeof agent.member, m_seed) % sampleMillis;
    const std::array<std::uint64_t, 2> key { agent.member, (nowMillis + phaseMillis) / sampleMillis };
    return XXH64(key.data(), sizeof key, m_seed);
}

void AgentDirectory::chooseFollowed(std::uint64_t nowMillis)
{
    struct Candidates {
        std::vector<std::pair<std::uint64_t, Agent*>> agents; // by order in the sample
        std::size_t limit = 0;
    };
    std::map<std::pair<std::uint32_t, bool>, Candidates> groups; // by service, and whether local
    for (auto& agent : m_agents) {
        agent.isFollowed = false;
        if (agent.state != MemberState::Ready || agent.isEvacuated)
            continue;
        auto& group = groups[{ agent.service, agent.isLocal }];
        group.limit = agent.isLocal ? m_followLimits.local : m_followLimits.remote;
        group.agents.emplace_back(sampleOrder(agent, nowMillis), &agent);
    }
    for (auto& [key, group] : groups) {
        const auto count = std::min(group.limit, group.agents.size());
        std::partial_sort(
            group.agents.begin(), group.agents.begin() + static_cast<std::ptrdiff_t>(count), group.agents.end());
        for (std::size_t index = 0; index < count; ++index)
            group.agents[index].second->isFollowed = true;
    }
}

bool AgentDirectory::hasEvacuated(std::uint32_t service) const
{
    return std::any_of(m_agents.begin(), m_agents.end(),
        [service](const Agent& agent) { return agent.service == service && agent.isEvacuated; });
}

const AgentDirectory::Agent* AgentDirectory::findByTrunk(const PacketEndpoint& trunk) const
{
    const auto found = m_byTrunk.find(trunk);
    return found != m_byTrunk.end() ? &m_agents[found->second] : nullptr;
}

bool AgentDirectory::recordLoad(const PacketEndpoint& trunk, const AgentLoad& load, std::uint64_t nowMillis)
{
    const auto found = m_byTrunk.find(trunk);
    if (found == m_byTrunk.end())
        return false;
    m_agents[found->second].load = load;
    m_agents[found->second].lastReportMillis = nowMillis;
    return true;
}

void AgentDirectory::addFlow(const PacketEndpoint& trunk)
{
    const auto found = m_byTrunk.find(trunk);
    if (found != m_byTrunk.end())
        ++m_agents[found->second].load.busy;
}

bool AgentDirectory::hasRecentReport(const Agent& agent, std::uint64_t nowMillis)
{
    const std::uint64_t timeoutMillis = agent.isLocal ? localReportTimeoutMillis : remoteReportTimeoutMillis;
    return agent.lastReportMillis && nowMillis - *agent.lastReportMillis <= timeoutMillis;
}

// The one place that keeps an agent from getting a flow, whatever its load. Returns why, or nothing if it may.
std::optional<PlacementReason> AgentDirectory::exclusionOf(
    const Agent& agent, const std::vector<std::uint32_t>& excluded, const Filter& isAllowed)
{
    if (agent.isEvacuated)
        return PlacementReason::Evacuated;
    if (isAllowed && !isAllowed(agent))
        return PlacementReason::NotHome;
    if (std::find(excluded.begin(), excluded.end(), agent.member) != excluded.end())
        return PlacementReason::Tried;
    return std::nullopt;
}

PlacementRank AgentDirectory::rankOf(const Agent& agent, const std::vector<std::uint32_t>& excluded,
    std::uint64_t nowMillis, const Filter& isAllowed) const
{
    PlacementCandidate candidate;
    candidate.load = agent.load;
    candidate.state = agent.state;
    candidate.isLocal = agent.isLocal;
    candidate.hasReported = agent.lastReportMillis.has_value();
    candidate.isRecent = hasRecentReport(agent, nowMillis);
    candidate.exclusion = exclusionOf(agent, excluded, isAllowed);
    const bool detectsOutliers = m_outlierMode != OutlierMode::Off;
    if (!detectsOutliers)
        return PlacementPolicy::rank(candidate, false, std::nullopt);
    candidate.isOutlier = m_outliers.isOutlier(agent.member, nowMillis);
    return PlacementPolicy::rank(candidate, true, m_outliers.medianMillis(agent.service));
}

void AgentDirectory::judgeOutliers(std::uint64_t nowMillis)
{
    if (m_outlierMode == OutlierMode::Off || nowMillis - m_lastJudgeMillis < judgeIntervalMillis)
        return;
    m_lastJudgeMillis = nowMillis;
    std::vector<ServiceFigure> figures;
    for (const auto& agent : m_agents) {
        if (agent.lastReportMillis && agent.state == MemberState::Ready)
            figures.push_back({ agent.member, agent.service, agent.load.serviceMillis, *agent.lastReportMillis });
    }
    m_outliers.judge(figures, nowMillis);
}

// An outlier that gets no flows could never show that it has recovered. The share of flows does not depend on the
// number of instances that try.
const AgentDirectory::Agent* AgentDirectory::chooseTrial(
    std::uint32_t service, std::uint64_t nowMillis, const Filter& isAllowed)
{
    if (m_outlierMode != OutlierMode::AvoidAndTry || m_outliers.outliers() == 0)
        return nullptr;
    std::vector<const Agent*> candidates;
    for (const auto& agent : m_agents) {
        if (agent.service == service && rankOf(agent, {}, nowMillis, isAllowed).tier == PlacementTier::Outlier)
            candidates.push_back(&agent);
    }
    if (candidates.empty())
        return nullptr;
    const double point = std::uniform_real_distribution<>(0, 1)(m_random);
    const auto index = static_cast<std::size_t>(point * double(m_outliers.knownAgents(service)) / trialShare);
    return index < candidates.size() ? candidates[index] : nullptr;
}

std::vector<AgentDirectory::Placement> AgentDirectory::placements(
    std::uint32_t service, const std::vector<std::uint32_t>& excluded, std::uint64_t nowMillis, const Filter& isAllowed)
{
    judgeOutliers(nowMillis);
    std::vector<Placement> all;
    for (const auto& agent : m_agents) {
        if (agent.service == service)
            all.push_back({ &agent, rankOf(agent, excluded, nowMillis, isAllowed) });
    }
    return all;
}

const AgentDirectory::Agent* AgentDirectory::choose(
    std::uint32_t service, const std::vector<std::uint32_t>& excluded, std::uint64_t nowMillis, const Filter& isAllowed)
{
    judgeOutliers(nowMillis);
    const Agent* trial = excluded.empty() ? chooseTrial(service, nowMillis, isAllowed) : nullptr;
    if (trial)
        return trial;
    const Agent* best = nullptr;
    PlacementRank bestRank;
    std::uint32_t bestOrder = 0; // decides at random between agents of the same rank
    for (const auto& [agent, rank] : placements(service, excluded, nowMillis, isAllowed)) {
        if (rank.tier == PlacementTier::Excluded)
            continue;
        const auto order = static_cast<std::uint32_t>(m_random());
        const bool isBetter = rank < bestRank || (!(bestRank < rank) && order < bestOrder);
        if (best && !isBetter)
            continue;
        best = agent;
        bestRank = rank;
        bestOrder = order;
    }
    return best;
}

} // namespace yuccahook::flow
