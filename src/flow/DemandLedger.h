#pragma once

#include "flow/RequestClass.h"

#include <cstdint>
#include <map>
#include <optional>

namespace yuccahook::flow {

/// The work that the requests of each class offered and got over the last seconds, in slots.
class DemandLedger {
public:
    void recordOffered(const RequestClass& kind, double workMillis, std::uint64_t nowMillis);
    void recordServed(const RequestClass& kind, double workMillis, std::uint64_t nowMillis);

    /// Whether more urgent than another class that was offered lately, with none more urgent than itself.
    bool isMostUrgent(const RequestClass& kind) const;

    /// The shortest latency goal of the most urgent classes; 0 if there are none.
    std::uint16_t urgentGoalMillis() const;

    /// Whether a class that is not most urgent got less than its minimum share of `slots`. Its fair share is that of
    /// its work in all work offered. The most urgent classes come before the minimum of the others.
    bool isBelowMinimum(const RequestClass& kind, double slots) const;

private:
    struct Rates {
        double offered = 0;
        double served = 0;
    };

    Rates& ratesOf(const RequestClass& kind, std::uint64_t nowMillis);

    std::map<RequestClass, Rates> m_rates;
    std::uint64_t m_updatedMillis = 0;
    std::uint64_t m_startMillis = 0; // when the first class was offered
};

} // namespace yuccahook::flow
