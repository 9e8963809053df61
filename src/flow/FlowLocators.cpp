#include "flow/FlowLocators.h"

#include <algorithm>
#include <unordered_set>

namespace yuccahook::flow {

namespace {

std::uint64_t weightOf(std::uint64_t flowHash, const PacketEndpoint& trunk)
{
    std::uint64_t mixed = flowHash ^ ((std::uint64_t { trunk.host } << 16 | trunk.port) * 0xbf58476d1ce4e5b9);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

} // namespace

void FlowLocators::setAgents(const std::vector<AgentDirectory::Agent>& agents)
{
    m_services.clear();
    std::unordered_map<PacketEndpoint, const AgentDirectory::Agent*> latest; // two incarnations may share an address
    for (const auto& agent : agents)
        latest[agent.trunk] = &agent;
    for (const auto& [trunk, agent] : latest) {
        Service& service = m_services[agent->service];
        service.agents.push_back(trunk);
        if (agent->state == MemberState::Ready)
            service.ready.push_back(trunk);
    }
}

std::optional<PacketEndpoint> FlowLocators::locator(
    std::uint32_t service, const PacketFlow& flow, std::size_t rank) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.agents.size() <= maximumWithoutLocator)
        return std::nullopt;
    const std::uint64_t flowHash = hashOf(flow);
    struct Ranked {
        std::uint64_t weight = 0;
        PacketEndpoint trunk;
    };
    Ranked first;
    Ranked second;
    for (const auto& trunk : found->second.ready) {
        const Ranked candidate { weightOf(flowHash, trunk), trunk };
        if (candidate.weight > first.weight) {
            second = first;
            first = candidate;
        } else if (candidate.weight > second.weight)
            second = candidate;
    }
    const Ranked& chosen = rank == 0 ? first : second;
    return chosen.weight != 0 ? std::optional(chosen.trunk) : std::nullopt;
}

const std::vector<PacketEndpoint>& FlowLocators::agentsOf(std::uint32_t service) const
{
    static const std::vector<PacketEndpoint> none;
    const auto found = m_services.find(service);
    return found != m_services.end() ? found->second.agents : none;
}

} // namespace yuccahook::flow
