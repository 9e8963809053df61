#include "flow/PeerByPressure.h"

#include <algorithm>

namespace yuccahook::flow {

const AgentDirectory::Agent* choosePeerByPressure(const AgentDirectory& directory, std::uint32_t service,
    const std::vector<std::uint32_t>& excluded, std::uint8_t level, std::uint64_t random, std::uint64_t nowMillis)
{
    std::vector<const AgentDirectory::Agent*> candidates;
    for (const auto& agent : directory.agents()) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), agent.member) != excluded.end();
        const bool isCheaper = agent.load.pressure != 0 && agent.load.pressure < level;
        if (agent.service == service && agent.state == MemberState::Ready && !isExcluded && isCheaper
            && agent.load.accepts && AgentDirectory::hasRecentReport(agent, nowMillis))
            candidates.push_back(&agent);
    }
    if (candidates.empty())
        return nullptr;
    constexpr int halfOfBits = 32;
    const auto* one = candidates[(random & UINT32_MAX) % candidates.size()];
    const auto* other = candidates[(random >> halfOfBits) % candidates.size()];
    return other->load.pressure < one->load.pressure ? other : one;
}

} // namespace yuccahook::flow
