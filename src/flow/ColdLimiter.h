#pragma once

#include "flow/PacketRoute.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace yuccahook::flow {

/// Limits the requests that a backend server gets while it is cold: a sliding window over one second, without credit
/// for a burst. Decides for one backend server at its agent, which sees all its requests.
///
/// An accepted flow counts from its acceptance; its first request then moves it to the time of the request. Therefore
/// neither the accepted flows nor their requests exceed the limit in any second. Requests on open flows are counted
/// but never held back, so they alone may exceed it.
class ColdLimiter {
public:
    /// `startMillis` is when the agent started. It does not know what the backend server got before.
    explicit ColdLimiter(std::uint64_t startMillis)
        : m_startMillis(startMillis)
    {
    }

    void setLimit(const ColdLimit& limit) { m_limit = limit; }

    /// Handles a report of the backend server's remaining cold time, which replaces that of the last report.
    void handleReport(std::uint64_t coldRemainingMillis, std::uint64_t nowMillis)
    {
        m_reportedColdUntilMillis = nowMillis + coldRemainingMillis;
    }

    /// Notes an event after which the backend server is cold for the whole period: the first report of a new
    /// incarnation, or the end of the evacuation of its failure domain.
    void startColdPeriod(std::uint64_t nowMillis)
    {
        m_periodStartMillis = nowMillis;
        m_hasPeriod = true;
    }

    /// Fills the window until a second after the agent's start: the backend server may have run before the agent.
    void assumeEarlierRequests() { m_hasUnknownRequests = true; }

    /// Counts a flow that is accepted.
    void addFlow(std::uint64_t nowMillis);

    /// Counts a request. `isAnnounced` if it is the first of an accepted flow, which is counted already.
    void addRequest(bool isAnnounced, std::uint64_t nowMillis);

    bool isCold(std::uint64_t nowMillis) const;

    /// Number of flows that may be accepted now; the largest number if the backend server is not cold.
    std::size_t available(std::uint64_t nowMillis) const;

    /// Whether a flow may be accepted now.
    bool canAccept(std::uint64_t nowMillis) const { return available(nowMillis) > 0; }

    /// Milliseconds until a flow may be accepted with `ahead` others accepted before it; 0 if it may be now.
    std::uint64_t delayMillis(std::size_t ahead, std::uint64_t nowMillis) const;

private:
    struct Counted {
        std::uint64_t atMillis = 0;
        bool isPending = false; ///< An accepted flow whose request has not arrived.
    };

    std::size_t limit() const;
    std::uint64_t coldUntilMillis() const;
    void add(Counted counted);
    bool lacksEarlierRequests(std::uint64_t nowMillis) const;
    std::span<const Counted> recent(std::uint64_t nowMillis) const;

    const std::uint64_t m_startMillis;
    ColdLimit m_limit;
    std::uint64_t m_reportedColdUntilMillis = 0;
    std::uint64_t m_periodStartMillis = 0; // of the last event that began a whole period
    bool m_hasPeriod = false;
    bool m_hasUnknownRequests = false;
    std::vector<Counted> m_counted; // the last ones in order of time, no more than the limit
};

} // namespace yuccahook::flow
