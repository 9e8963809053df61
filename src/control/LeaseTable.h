#pragma once

#include "flow/Membership.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace yuccahook::control {

/// The leases of announced agents, as the leader of the control instances keeps them. Has no clock of its own.
class LeaseTable {
public:
    using Time = std::chrono::milliseconds;

    /// How long an agent stays a member without announcing itself again.
    static constexpr Time leaseDuration = std::chrono::seconds(10);

    void renew(std::uint32_t member, Time now);

    /// Forgets all leases; the next `ended` starts each anew, as a new leader does.
    void clear() { m_renewed.clear(); }

    /// The members whose leases have ended and that should leave. Those of a service that would lose more than half
    /// of its members at once stay: that many seldom die together, so the announcements are likelier to be lost.
    std::vector<std::uint32_t> ended(const flow::Membership& membership, Time now);

    /// Members without a lease that the guard of the last `ended` call kept.
    std::size_t guarded() const { return m_guarded; }

private:
    std::map<std::uint32_t, Time> m_renewed; // by member id
    std::size_t m_guarded = 0;
};

} // namespace yuccahook::control
