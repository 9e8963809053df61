#include "flow/FlowSearch.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t checkMillis = 50; // between two looks at all searches

} // namespace

bool FlowSearch::add(const PacketHeader& header, PacketBytes packet, std::uint64_t nowMillis, std::uint64_t delayMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    auto found = m_searches.find(flow);
    if (found == m_searches.end()) {
        if (m_searches.size() >= maximumSearches)
            return false;
        found = m_searches.try_emplace(flow).first;
        found->second.passMillis = nowMillis + delayMillis;
        m_passes.emplace(found->second.passMillis, flow);
    }
    Search& search = found->second;
    search.acknowledged = header.acknowledged;
    search.activeMillis = nowMillis;
    search.callerReset = header.resets;
    if (search.packets.size() < maximumKeptPackets && m_keptBytes + packet.size() <= maximumKeptBytes) {
        m_keptBytes += packet.size();
        search.packets.emplace_back(packet.begin(), packet.end());
    }
    return true;
}

std::vector<std::vector<std::uint8_t>> FlowSearch::remove(const PacketFlow& flow, const PacketEndpoint& holder)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end())
        return {};
    Search& search = found->second;
    for (const auto& packet : search.packets)
        m_keptBytes -= packet.size();
    auto packets = std::move(search.packets);
    if (const auto agent = m_agents.find(holder); agent != m_agents.end()) {
        const auto probe = search.probes.find(agent->second.member);
        if (probe != search.probes.end())
            packets.erase(packets.begin(), packets.begin() + static_cast<std::ptrdiff_t>(probe->second.packets));
    }
    m_searches.erase(found);
    m_denied.erase(flow);
    return packets;
}

std::vector<std::vector<std::uint8_t>> FlowSearch::removeLocated(const PacketFlow& flow, const PacketEndpoint& holder)
{
    const auto found = m_searches.find(flow);
    const auto agent = m_agents.find(holder);
    if (found != m_searches.end() && agent != m_agents.end() && found->second.locates > 0)
        found->second.probes.try_emplace(agent->second.member, Probe { 1, 0 });
    return remove(flow, holder);
}

// Requests alternate between the two locators: the one that did not answer may be dead or new.
std::optional<FlowSearch::LocateRequest> FlowSearch::nextLocate(const PacketFlow& flow, std::uint64_t nowMillis)
{
    const auto found = m_searches.find(flow);
    if (found == m_searches.end() || found->second.packets.empty())
        return std::nullopt;
    Search& search = found->second;
    if (search.locates > 0 && nowMillis - search.locatedMillis < locateMillis)
        return std::nullopt;
    search.locatedMillis = nowMillis;
    m_located.emplace_back(nowMillis, flow);
    return LocateRequest { search.locates++ % 2, search.packets.front() };
}

std::vector<PacketFlow> FlowSearch::takeUnlocated(std::uint64_t nowMillis)
{
    std::vector<PacketFlow> flows;
    for (; !m_located.empty() && nowMillis - m_located.front().first >= locateMillis; m_located.pop_front()) {
        const auto& [locatedMillis, flow] = m_located.front();
        const auto found = m_searches.find(flow);
        if (found != m_searches.end() && found->second.locatedMillis == locatedMillis
            && found->second.locates < maximumLocates)
            flows.push_back(found->first);
    }
    return flows;
}

void FlowSearch::setAgents(
    const std::vector<AgentDirectory::Agent>& agents, std::uint64_t revision, std::uint64_t nowMillis)
{
    m_revision = revision;
    auto before = std::exchange(m_agents, {});
    for (const auto& agent : agents) {
        AskedAgent& asked = m_agents[agent.trunk];
        const auto known = before.find(agent.trunk);
        asked.member = agent.member;
        const std::uint64_t heardBefore = known != before.end() ? known->second.heardMillis : 0;
        asked.heardMillis = std::max(agent.lastReportMillis.value_or(0), heardBefore);
    }
    // A removed agent may be out of contact with the control instances only.
    for (const auto& [trunk, asked] : before) {
        const bool isForgotten = !asked.isMember && nowMillis - asked.heardMillis > silenceMillis;
        if (isForgotten)
            continue;
        const auto [position, isAbsent] = m_agents.try_emplace(trunk, asked);
        if (!isAbsent || !asked.isMember)
            continue;
        position->second.isMember = false;
        position->second.heardMillis = std::max(asked.heardMillis, nowMillis + graceMillis - silenceMillis);
    }
    countUnanswered(nowMillis);
    m_order.clear();
    for (const auto& [trunk, asked] : m_agents)
        m_order.push_back(trunk);
    for (const auto& flow : m_asked) {
        if (const auto search = m_searches.find(flow); search != m_searches.end())
            search->second.agentsLeft = m_order.size();
    }
}

// Drops searches without a caller, and agents that have been silent.
void FlowSearch::checkSearches(std::uint64_t nowMillis)
{
    m_nextCheckMillis = nowMillis + checkMillis;
    std::erase_if(m_agents, [nowMillis](const auto& entry) {
        return !entry.second.isMember && nowMillis - entry.second.heardMillis > silenceMillis;
    });
    countUnanswered(nowMillis);
    std::vector<PacketFlow> idle;
    for (const auto& [flow, search] : m_searches) {
        if (search.denied.size() >= m_agents.size())
            m_denied.insert(flow);
        if (nowMillis - search.activeMillis > idleMillis)
            idle.push_back(flow);
    }
    for (const auto& flow : idle)
        remove(flow);
}

void FlowSearch::countUnanswered(std::uint64_t nowMillis)
{
    m_unansweredBytes = 0;
    for (auto& [trunk, agent] : m_agents) {
        if (nowMillis - agent.unansweredMillis >= replyMillis)
            agent.unansweredBytes = 0;
        m_unansweredBytes += agent.unansweredBytes;
    }
}

// The searches that have waited longest are next to be asked for.
void FlowSearch::startPasses(std::uint64_t nowMillis)
{
    while (!m_order.empty() && m_asked.size() < maximumQueriedFlows && !m_passes.empty()
        && m_passes.top().first <= nowMillis) {
        const auto [passMillis, flow] = m_passes.top();
        m_passes.pop();
        const auto found = m_searches.find(flow);
        const bool isCurrent = found != m_searches.end() && found->second.passMillis == passMillis;
        if (!isCurrent || found->second.agentsLeft > 0)
            continue;
        found->second.agentsLeft = m_order.size();
        m_asked.push_back(flow);
    }
}

// The flows to ask an agent for: those in a pass that it has not denied. Ends the passes that have reached all agents.
std::vector<QueriedFlow> FlowSearch::flowsFor(const PacketEndpoint& trunk, std::uint64_t nowMillis)
{
    const auto agent = m_agents.find(trunk);
    std::vector<QueriedFlow> flows;
    std::erase_if(m_asked, [&](const PacketFlow& flow) {
        const auto found = m_searches.find(flow);
        if (found == m_searches.end() || found->second.agentsLeft == 0)
            return true; // has ended, and may have started anew
        Search& search = found->second;
        if (agent != m_agents.end() && !search.denied.contains(agent->second.member))
            flows.push_back({ flow, search.acknowledged });
        if (--search.agentsLeft > 0)
            return false;
        search.passMillis = nowMillis + repeatMillis;
        m_passes.emplace(search.passMillis, flow);
        return true;
    });
    return flows;
}

// What a query and its reply take of a link.
std::size_t FlowSearch::linkBytes(std::size_t flows)
{
    constexpr std::size_t headerBytes = 46; // Ethernet, IPv4 and UDP
    constexpr std::size_t fixedBytes = 2 * headerBytes + 10;
    constexpr std::size_t flowBytes = 29; // 16 in the query, 13 in the reply
    return fixedBytes + flows * flowBytes;
}

// The time that a query to one agent takes of the rate.
std::uint64_t FlowSearch::queryMicros(std::size_t flows, std::size_t bytes)
{
    constexpr std::uint64_t microsPerSecond = 1'000'000;
    return std::max({ microsPerSecond / datagramsPerSecond, bytes * microsPerSecond / bytesPerSecond,
        linkBytes(flows) * microsPerSecond / linkBytesPerSecond });
}

std::optional<std::vector<FlowSearch::Outcome>> FlowSearch::handleReply(
    const PacketEndpoint& source, const FlowReply& reply, std::uint64_t nowMillis)
{
    const auto agent = m_agents.find(source);
    if (agent == m_agents.end())
        return std::nullopt;
    agent->second.heardMillis = nowMillis;
    m_unansweredBytes -= std::exchange(agent->second.unansweredBytes, 0);
    const std::uint32_t member = agent->second.member;
    std::vector<Outcome> outcomes;
    for (const auto& [flow, holding] : reply.flows) {
        const auto found = m_searches.find(flow);
        if (found == m_searches.end())
            continue; // a late or repeated answer
        Search& search = found->second;
        search.revision = std::max(search.revision, reply.revision);
        switch (holding) {
        case FlowHolding::Holds:
            outcomes.push_back({ Result::Found, flow, search.acknowledged, remove(flow, source) });
            break;
        case FlowHolding::Possible:
            if (auto& probe = search.probes[member];
                !search.packets.empty() && (probe.packets == 0 || nowMillis - probe.sentMillis >= repeatProbeMillis)) {
                probe = { 1, nowMillis };
                outcomes.push_back({ Result::Possible, flow, search.acknowledged, { search.packets.front() } });
            }
            break;
        case FlowHolding::None:
            search.denied.insert(member);
            if (search.denied.size() >= m_agents.size())
                m_denied.insert(flow);
            break;
        }
    }
    return outcomes;
}

std::vector<FlowSearch::Outcome> FlowSearch::takeEnded()
{
    std::vector<Outcome> outcomes;
    // Those that have not ended are looked at again after their next denial or in the next round.
    for (const PacketFlow& flow : std::exchange(m_denied, {})) {
        const Search& search = m_searches.at(flow);
        if (!hasEnded(search))
            continue;
        const std::uint32_t acknowledged = search.acknowledged;
        const bool callerReset = search.callerReset;
        remove(flow);
        if (!callerReset)
            outcomes.push_back({ Result::Ended, flow, acknowledged, {} });
    }
    return outcomes;
}

// Without any agent to ask nothing is proved.
bool FlowSearch::hasEnded(const Search& search) const
{
    return !m_agents.empty() && search.revision <= m_revision
        && std::all_of(m_agents.begin(), m_agents.end(),
            [&search](const auto& entry) { return search.denied.contains(entry.second.member); });
}

} // namespace yuccahook::flow
