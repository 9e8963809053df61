#pragma once

#include "flow/AgentDirectory.h"

#include <cstdint>
#include <vector>

namespace yuccahook::flow {

/// Chooses an agent of the service that turns away only requests below `level`, by its last report. Of two drawn by
/// `random` it is the one under less pressure, so that not all agents choose the same. Null if there is none; an agent
/// whose report is old or tells no pressure is not chosen.
const AgentDirectory::Agent* choosePeerByPressure(const AgentDirectory& directory, std::uint32_t service,
    const std::vector<std::uint32_t>& excluded, std::uint8_t level, std::uint64_t random, std::uint64_t nowMillis);

} // namespace yuccahook::flow
