#pragma once

#include <cstdint>

namespace yuccahook::flow {

/// When an agent last refused an opening packet because it would have waited too long, and the highest priority
/// refused.
class OverloadRecord {
public:
    void add(std::uint8_t priority, std::uint64_t nowMillis)
    {
        if (!contains(UINT8_MAX, nowMillis) || priority < m_priority)
            m_priority = priority;
        m_lastMillis = nowMillis;
    }

    /// Whether packets of that priority were refused lately.
    bool contains(std::uint8_t priority, std::uint64_t nowMillis) const
    {
        return m_lastMillis != 0 && nowMillis - m_lastMillis < overloadMillis && priority >= m_priority;
    }

private:
    static constexpr std::uint64_t overloadMillis = 1000; // about as long as an opening packet may wait

    std::uint64_t m_lastMillis = 0; // 0: never
    std::uint8_t m_priority = 0;
};

} // namespace yuccahook::flow
