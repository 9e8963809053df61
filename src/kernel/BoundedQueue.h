#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace yuccahook::kernel {

/// A thread-safe queue from any number of producers to one consumer. Refuses values beyond its bound instead of
/// growing.
template <typename Value> class BoundedQueue {
public:
    explicit BoundedQueue(std::size_t bound)
        : m_bound(bound)
    {
    }

    /// Returns false when the queue is full or closed; the value is then dropped.
    bool push(Value value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_values.size() >= m_bound)
            return false;
        m_values.push_back(std::move(value));
        return true;
    }

    /// Removes and returns all queued values, oldest first.
    std::deque<Value> popAll()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_values, {});
    }

    /// Makes all later pushes fail; values already queued stay.
    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }

private:
    const std::size_t m_bound;
    std::mutex m_mutex;
    std::deque<Value> m_values;
    bool m_closed = false;
};

} // namespace yuccahook::kernel
