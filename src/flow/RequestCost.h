#pragma once

#include "flow/WorkEstimate.h"

namespace yuccahook::flow {

/// What the delay or the refusal of a request costs its caller. The unit is the worth of a request of priority 0 that
/// is answered within its latency goal; each further level of priority is worth half as much.
class RequestCost {
public:
    RequestCost(const RequestClass& kind, const Work& work);

    /// What a millisecond of a slot earns if the request is answered within its goal.
    double perSlotMilli() const { return m_worth / m_work.meanMillis; }

    /// The latest start at which the answer is expected within the latency goal, from the caller's first packet.
    double latestStartMillis() const;

private:
    RequestClass m_class;
    Work m_work;
    double m_worth = 1;
};

} // namespace yuccahook::flow
