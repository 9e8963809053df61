#pragma once

#include "flow/PacketFlow.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace yuccahook::flow {

/// The requests at a backend server in order of arrival, in which it serves them. Tells how long each had a slot, also
/// when it had to wait for one.
class RunningRequests {
public:
    /// `expectedMillis` is the slot time that the request is expected to need.
    void start(const PacketFlow& flow, double expectedMillis, std::uint32_t slots, std::uint64_t nowMillis);

    /// Removes a request. Returns the time for which it had a slot, or nothing if that is not known.
    std::optional<std::uint64_t> end(const PacketFlow& flow, std::uint32_t slots, std::uint64_t nowMillis);

    /// Number of slots held for far longer than expected.
    std::uint32_t overdueSlots(std::uint64_t nowMillis) const;

    /// Number of requests expected to need more slot time than that.
    std::uint32_t countLonger(double millis) const;

    std::size_t size() const { return m_requests.size(); }

private:
    struct Request {
        PacketFlow flow;
        double expectedMillis = 0;
        std::uint64_t arrivedMillis = 0;
        std::optional<std::uint64_t> slotMillis; // when it got a slot
    };

    void fillSlots(std::uint32_t slots, std::uint64_t nowMillis);

    std::deque<Request> m_requests;
};

} // namespace yuccahook::flow
