#pragma once

#include "flow/FlowKey.h"

#include <cstddef>
#include <utility>
#include <vector>

namespace yuccahook::flow {

/// A hash table of flows in one flat array with linear probing and one cache line per flow. Allocates only when it
/// grows. Pointers to values are valid until the next insertion or removal. A key's service must not be 0, which marks
/// an empty slot.
template <typename Value> class FlowTable {
public:
    FlowTable() { reset(); }

    std::size_t size() const { return m_size; }

    /// Memory of the slots, in bytes.
    std::size_t bytes() const { return m_slots.size() * sizeof(Slot); }

    void clear() { reset(); }

    /// Prefetches the slot that `find` reads first.
    void prefetch(const FlowKey& key) const { __builtin_prefetch(&m_slots[homeSlot(key)], 1); }

    /// The flow's value, or null.
    Value* find(const FlowKey& key)
    {
        const std::size_t index = search(key);
        return occupied(index) ? &m_slots[index].value : nullptr;
    }

    const Value* find(const FlowKey& key) const { return const_cast<FlowTable*>(this)->find(key); }

    void insertOrAssign(const FlowKey& key, const Value& value)
    {
        if ((m_size + 1) * maximumLoadDenominator > m_slots.size() * maximumLoadNumerator)
            grow();
        const std::size_t index = search(key);
        if (!occupied(index))
            ++m_size;
        m_slots[index] = { key, value };
    }

    void erase(const FlowKey& key)
    {
        std::size_t hole = search(key);
        if (!occupied(hole))
            return;
        --m_size;
        // Moves back the entries whose probing passed the hole, so that no tombstones are needed.
        for (std::size_t index = nextSlot(hole); occupied(index); index = nextSlot(index)) {
            const std::size_t distance = (index - homeSlot(m_slots[index].key)) & m_mask;
            if (distance < ((index - hole) & m_mask))
                continue;
            m_slots[hole] = m_slots[index];
            hole = index;
        }
        m_slots[hole] = {};
    }

    /// Calls `visit(key, value)` for each flow. `visit` must not insert or erase.
    template <typename Visit> void forEach(Visit visit)
    {
        for (auto& slot : m_slots) {
            if (slot.key.service != 0)
                visit(std::as_const(slot.key), slot.value);
        }
    }

private:
    static constexpr std::size_t initialSlots = 1024;
    static constexpr std::size_t maximumLoadNumerator
        = 2; // over maximumLoadDenominator: the share of slots that may be occupied
    static constexpr std::size_t maximumLoadDenominator = 3;
    static constexpr std::size_t cacheLineBytes = 64;

    struct alignas(cacheLineBytes) Slot {
        FlowKey key;
        Value value {};
    };

    std::size_t homeSlot(const FlowKey& key) const { return hashOf(key) & m_mask; }
    std::size_t nextSlot(std::size_t index) const { return (index + 1) & m_mask; }
    bool occupied(std::size_t index) const { return m_slots[index].key.service != 0; }

    // The key's slot, or the empty slot where it would be inserted.
    std::size_t search(const FlowKey& key) const
    {
        std::size_t index = homeSlot(key);
        while (occupied(index) && m_slots[index].key != key)
            index = nextSlot(index);
        return index;
    }

    void reset()
    {
        m_slots.assign(initialSlots, {});
        m_mask = initialSlots - 1;
        m_size = 0;
    }

    void grow()
    {
        std::vector<Slot> former(m_slots.size() * 2);
        former.swap(m_slots);
        m_mask = m_slots.size() - 1;
        for (const auto& slot : former) {
            if (slot.key.service != 0)
                m_slots[search(slot.key)] = slot;
        }
    }

    std::vector<Slot> m_slots;
    std::size_t m_mask = 0;
    std::size_t m_size = 0;
};

} // namespace yuccahook::flow
