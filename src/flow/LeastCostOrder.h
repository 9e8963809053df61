#pragma once

#include "flow/DemandLedger.h"
#include "flow/OpeningOrder.h"
#include "flow/WorkEstimate.h"

#include <cstdint>

namespace yuccahook::flow {

/// The order of OverloadPolicy::LeastCost, and what an agent has measured for it. Those within their latency goal come
/// first; among these the most urgent priority, then classes below their minimum share, then those that earn most per
/// millisecond of a slot, then those that must start first.
class LeastCostOrder final : public OpeningOrder {
public:
    void setSlots(std::uint32_t slots) { m_slots = slots; }

    /// Records a new request that was offered to this agent first.
    void recordOffered(const RequestClass& kind, std::uint64_t nowMillis);
    /// Records a request that was offered to the backend server.
    void recordAccepted(const RequestClass& kind, std::uint64_t nowMillis);
    void recordWork(const RequestClass& kind, double millis) { m_work.record(kind, millis); }

    Work work(const RequestClass& kind) const { return m_work.of(kind); }
    /// The work of a request whose class is not known; `kind` is that of another one.
    Work workOfAny(const RequestClass& kind) const { return m_work.ofAny(kind); }

    /// The latency goal of the most urgent requests; 0 if there are none.
    std::uint16_t urgentGoalMillis() const { return m_demand.urgentGoalMillis(); }

    OpeningRank rank(const WaitingOpening& opening, std::uint64_t nowMillis) const override;

    /// What it costs to turn a request of the class away, from 1 to 255 on a logarithmic scale.
    std::uint8_t level(const RequestClass& kind) const;

    /// The lowest level of the requests that were accepted lately; 0 if there was none.
    std::uint8_t acceptedLevel(std::uint64_t nowMillis) const;

private:
    WorkEstimate m_work;
    DemandLedger m_demand;
    std::uint32_t m_slots = 1;
    std::uint8_t m_acceptedLevel = 0;
    std::uint64_t m_acceptedMillis = 0;
};

} // namespace yuccahook::flow
