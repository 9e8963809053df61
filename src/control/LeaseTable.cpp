#include "control/LeaseTable.h"

namespace yuccahook::control {

namespace {

/// Number of members of a service, and those whose lease has expired.
struct ServiceLeases {
    std::size_t members = 0;
    std::vector<std::uint32_t> expired;
};

} // namespace

void LeaseTable::renew(std::uint32_t member, Time now) { m_renewed[member] = now; }

std::vector<std::uint32_t> LeaseTable::expired(const flow::Membership& membership, Time now)
{
    std::map<std::uint32_t, ServiceLeases> services; // by service id
    std::erase_if(m_renewed, [&membership](const auto& lease) { return !membership.member(lease.first); });
    for (const auto& member : membership.members) {
        ServiceLeases& leases = services[member.service];
        ++leases.members;
        const Time renewed = m_renewed.try_emplace(member.id, now).first->second;
        if (now - renewed > leaseDuration)
            leases.expired.push_back(member.id);
    }
    std::vector<std::uint32_t> removable;
    m_guardedMembers = 0;
    for (const auto& [service, leases] : services) {
        if (leases.expired.size() * 2 > leases.members)
            m_guardedMembers += leases.expired.size();
        else
            removable.insert(removable.end(), leases.expired.begin(), leases.expired.end());
    }
    return removable;
}

} // namespace yuccahook::control
