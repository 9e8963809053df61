#pragma once

#include "flow/Membership.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace yuccahook::control {

/// The leases of announced agents, kept by the leader of the control instances. Has no clock of its own: all times that
/// are passed in must be of the same clock.
class LeaseTable {
public:
    using Time = std::chrono::milliseconds;

    /// How long an agent stays a member without announcing itself again.
    static constexpr Time leaseDuration = std::chrono::seconds(10);

    /// Starts a new lease of a member, by member id.
    void renew(std::uint32_t member, Time now);

    /// Drops all leases. The next call of `expired` starts a new lease for every member, as a new leader needs.
    void clear() { m_renewed.clear(); }

    /// The ids of members whose leases have expired and that should be removed. When more than half of a service's
    /// members have expired at once, all of them are kept: that many seldom fail together, so lost announcements are
    /// more likely.
    std::vector<std::uint32_t> expired(const flow::Membership& membership, Time now);

    /// Number of members with an expired lease that the last call of `expired` kept because they are more than half of
    /// their service.
    std::size_t guardedMembers() const { return m_guardedMembers; }

private:
    std::map<std::uint32_t, Time> m_renewed; // by member id
    std::size_t m_guardedMembers = 0;
};

} // namespace yuccahook::control
