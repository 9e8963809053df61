#pragma once

#include "flow/FlowKey.h"

#include <cstdint>
#include <vector>

namespace yuccahook::flow {

/// Which member was last seen to hold a flow, for a bounded number of flows. The entries are hints: a wrong one costs
/// an additional forward. Allocates only in the constructor.
class HintCache {
public:
    explicit HintCache(std::size_t slots)
        : m_slots(slots)
    {
    }

    /// Prefetches the slot that `holderOf` reads.
    void prefetch(const FlowKey& key) const { __builtin_prefetch(&m_slots[hashOf(key) % m_slots.size()]); }

    /// Stores the flow's holder. Replaces the entry of any other flow that shares its slot.
    void learn(const FlowKey& key, std::uint32_t holder) { slotOf(key) = { key, holder }; }

    /// The member that holds the flow, or 0 if unknown.
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

    /// Memory of a cache with that many slots, in bytes.
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
