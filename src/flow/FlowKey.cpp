#include "flow/FlowKey.h"

#include <array>
#include <xxhash.h>

namespace yuccahook::flow {

std::uint64_t hashOf(const FlowKey& key)
{
    const std::array<std::uint64_t, 3> words { key.caller.high, key.caller.low,
        static_cast<std::uint64_t>(key.caller.port) << 32 | key.service };
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace yuccahook::flow
