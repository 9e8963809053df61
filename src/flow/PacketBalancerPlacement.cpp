#include "flow/PacketBalancer.h"

#include <algorithm>

namespace yuccahook::flow {

// An explanation of where a new flow would go. Nothing is sent or counted.

PlacementExplanation PacketBalancer::explainPlacement(
    const PacketEndpoint& address, const std::optional<PacketEndpoint>& caller, std::uint64_t nowMillis)
{
    PlacementExplanation explanation;
    explanation.revision = m_membership->revision;
    explanation.routeVersion = m_membership->routeVersion;
    const auto* route = m_membership->route(address.address());
    if (m_firstRoutesMillis == 0)
        explanation.fault = PlacementFault::RoutesUnknown;
    else if (!route)
        explanation.fault = hasRecentRoutes() ? PlacementFault::NoRoute : PlacementFault::RoutesUnknown;
    else if (isStarting(nowMillis))
        explanation.fault = PlacementFault::LoadsUnknown;
    if (explanation.fault)
        return explanation;
    explanation.route = route->name;
    explanation.homes = route->homes;
    const std::uint32_t chosen = caller ? serviceOf(*route, { *caller, address }) : 0;
    bool isKnown = false;
    for (const auto& target : route->targets) {
        const auto* service = m_membership->serviceNamed(target.service);
        ExplainedService& explained = explanation.services.emplace_back();
        explained.name = target.service;
        explained.weight = target.weight;
        if (!service)
            continue;
        isKnown = true;
        explained.isChosen = caller ? service->id == chosen : target.weight > 0;
        explained.candidates = explainCandidates(service->id, *route, nowMillis);
    }
    if (!isKnown)
        explanation.fault = PlacementFault::NoService;
    return explanation;
}

std::vector<ExplainedCandidate> PacketBalancer::explainCandidates(
    std::uint32_t service, const PacketRoute& route, std::uint64_t nowMillis)
{
    const auto isAllowed
        = [&](const AgentDirectory::Agent& agent) { return m_homes.isHome(route.homes, agent.domain); };
    std::vector<ExplainedCandidate> candidates;
    for (const auto& [agent, rank] : m_agents.placements(service, {}, nowMillis, isAllowed)) {
        ExplainedCandidate& candidate = candidates.emplace_back();
        candidate.member = agent->member;
        if (const auto* member = m_membership->member(agent->member)) {
            candidate.agent = member->agent;
            candidate.domain = member->domain;
            candidate.isEvacuated = m_membership->isEvacuated(member->domain);
        }
        candidate.rank = rank;
        candidate.load = agent->load;
        if (agent->lastReportMillis)
            candidate.reportAgeMillis = nowMillis - *agent->lastReportMillis;
        candidate.isOutlier = m_agents.isOutlier(*agent, nowMillis);
        candidate.mayBeTried = rank.tier == PlacementTier::Outlier;
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const ExplainedCandidate& one, const ExplainedCandidate& other) { return one.rank < other.rank; });
    for (auto& candidate : candidates)
        candidate.isFirst
            = candidate.rank.tier != PlacementTier::Excluded && !(candidates.front().rank < candidate.rank);
    return candidates;
}

} // namespace yuccahook::flow
