#pragma once

#include "flow/FlowKey.h"

#include <cstdint>
#include <vector>

namespace yuccahook::flow {

/// Which member was last seen to hold a flow, for a bounded number of flows. Only a hint: a wrong one costs a forward.
/// Nothing is allocated after the construction.
class HintCache {
public:
    explicit HintCache(std::size_t slots)
        : m_slots(slots)
    {
    }

    /// Begins to load what `holderOf` will read.
    void prefetch(const FlowKey& key) const { __builtin_prefetch(&m_slots[hashOf(key) % m_slots.size()]); }

    /// Remembers the holder in place of whatever shares its slot.
    void learn(const FlowKey& key, std::uint32_t holder) { slotOf(key) = { key, holder }; }

    /// The member, or 0.
    std::uint32_t holderOf(const FlowKey& key) const
    {
        const Slot& slot = m_slots[hashOf(key) % m_slots.size()];
        return slot.key == key ? slot.holder : 0;
    }

    void forget(const FlowKey& key)
    {
        if (Slot& slot = slotOf(key); slot.key == key)
            slot = {};
    }

    /// What a cache of that many slots takes.
    static constexpr std::size_t bytesFor(std::size_t slots) { return slots * sizeof(Slot); }

private:
    struct Slot {
        FlowKey key;
        std::uint32_t holder = 0;
    };

    Slot& slotOf(const FlowKey& key) { return m_slots[hashOf(key) % m_slots.size()]; }

    std::vector<Slot> m_slots;
};

} // namespace yuccahook::flow
