#pragma once

#include <cstdint>

namespace yuccahook::flow {

/// Tells when a process has stood still, as on a suspended machine. What piled up meanwhile is of no use: an opening
/// packet that old would only take a slot from one that is waited for.
class PauseDetector {
public:
    /// Call with each packet and tick; ticks come several times within `pauseMillis`.
    void note(std::uint64_t nowMillis)
    {
        if (m_lastMillis != 0 && nowMillis - m_lastMillis > pauseMillis)
            m_wakingUntilMillis = nowMillis + wakingMillis;
        m_lastMillis = nowMillis;
    }

    bool isWaking(std::uint64_t nowMillis) const { return nowMillis < m_wakingUntilMillis; }

private:
    static constexpr std::uint64_t pauseMillis = 800; // eight ticks of a balancer
    static constexpr std::uint64_t wakingMillis = 50; // to read what has piled up

    std::uint64_t m_lastMillis = 0;
    std::uint64_t m_wakingUntilMillis = 0;
};

} // namespace yuccahook::flow
