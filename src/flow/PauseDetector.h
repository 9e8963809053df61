#pragma once

#include <cstdint>

namespace yuccahook::flow {

/// Detects that the process was suspended, for example together with its machine. Opening packets that have queued up
/// meanwhile are of no use: they would only occupy slots that flows with a waiting caller need.
class PauseDetector {
public:
    /// Call with each packet and tick. Ticks must come several times within `minimumPauseMillis`.
    void observe(std::uint64_t nowMillis)
    {
        if (m_lastObservedMillis != 0 && nowMillis - m_lastObservedMillis > minimumPauseMillis)
            m_catchUpUntilMillis = nowMillis + catchUpMillis;
        m_lastObservedMillis = nowMillis;
    }

    /// Whether a pause has just ended, so that packets may be old.
    bool isCatchingUp(std::uint64_t nowMillis) const { return nowMillis < m_catchUpUntilMillis; }

private:
    static constexpr std::uint64_t minimumPauseMillis = 800; // eight ticks of a balancer
    static constexpr std::uint64_t catchUpMillis = 50; // to read the packets that have queued up

    std::uint64_t m_lastObservedMillis = 0;
    std::uint64_t m_catchUpUntilMillis = 0;
};

} // namespace yuccahook::flow
