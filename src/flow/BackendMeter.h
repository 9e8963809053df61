#pragma once

#include "flow/PacketFlow.h"

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace yuccahook::flow {

/// How a request ended at a backend server.
enum class RequestOutcome : std::uint8_t {
    Answered,
    Failed ///< Reset, closed without an answer, or not answered.
};

/// Measures how well a backend server serves its requests: one figure from their service times and the share that
/// fails. A request that waits for a slot at the backend server is timed from the moment at which it gets one. Has no
/// clock.
class BackendMeter {
public:
    /// Ended requests that the figure is calculated from.
    static constexpr std::size_t windowRequests = 16;
    /// With fewer ended requests, the figure is not known. A mean of eight requests without the slowest quarter has a
    /// standard deviation of 12 % at service times of 0.5 to 1.5 times the mean.
    static constexpr std::size_t minimumRequests = 8;
    /// A request that is not answered for this long has failed. Longer than a request of 33 ms that takes 7 times the
    /// mean at a server that is slow by a factor of 8.
    static constexpr std::uint64_t unansweredMillis = 2000;
    /// A failed request counts as one that takes this many times the mean: its caller loses about a latency goal, which
    /// is 8 to 12 times a service time at the sites measured.
    static constexpr double failureFactor = 8;

    void setSlots(std::uint32_t slots) { m_slots = slots; }

    void startRequest(const PacketFlow& flow, std::uint64_t nowMillis);

    /// Ends a request that is in progress; others are ignored.
    void finishRequest(const PacketFlow& flow, RequestOutcome outcome, std::uint64_t nowMillis);

    /// Forgets the request of a caller that no longer waits for it.
    void forgetRequest(const PacketFlow& flow, std::uint64_t nowMillis);

    /// Counts an opening packet that the backend server returned or left unanswered.
    void recordFailedOpening() { addSample({ 0, RequestOutcome::Failed }); }

    /// Counts all requests in progress as failed; for the end of a backend server.
    void failRequests();

    /// Counts the requests that have been unanswered for too long as failed.
    void expire(std::uint64_t nowMillis);

    /// Mean service time in ms without the slowest quarter, with failed requests at `failureFactor` times the mean. 0
    /// if not known, UINT16_MAX if no request was answered.
    std::uint16_t serviceMillis() const { return m_serviceMillis; }

private:
    struct Sample {
        std::uint32_t millis = 0;
        RequestOutcome outcome = RequestOutcome::Answered;
    };

    /// Ends the use of a slot or a place in the queue. Returns when the request got its slot; 0 if it is not known.
    std::uint64_t remove(const PacketFlow& flow, std::uint64_t nowMillis);
    void fillSlots(std::uint64_t nowMillis);
    void addSample(Sample sample);

    std::uint32_t m_slots = 1;
    std::unordered_map<PacketFlow, std::uint64_t> m_running; // since when
    std::deque<std::pair<PacketFlow, std::uint64_t>> m_queued; // since when
    std::array<Sample, windowRequests> m_samples {};
    std::size_t m_sampleCount = 0; // of all samples; the next one goes to this position modulo the window
    std::uint16_t m_serviceMillis = 0;
};

} // namespace yuccahook::flow
