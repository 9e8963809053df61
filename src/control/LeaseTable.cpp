#include "control/LeaseTable.h"

namespace yuccahook::control {

namespace {

/// The members of one service, counted.
struct ServiceCount {
    std::size_t members = 0;
    std::vector<std::uint32_t> ended;
};

} // namespace

void LeaseTable::renew(std::uint32_t member, Time now) { m_renewed[member] = now; }

std::vector<std::uint32_t> LeaseTable::ended(const flow::Membership& membership, Time now)
{
    std::map<std::uint32_t, ServiceCount> services; // by service id
    std::erase_if(m_renewed, [&membership](const auto& lease) { return !membership.member(lease.first); });
    for (const auto& member : membership.members) {
        ServiceCount& count = services[member.service];
        ++count.members;
        const Time renewed = m_renewed.try_emplace(member.id, now).first->second;
        if (now - renewed > leaseDuration)
            count.ended.push_back(member.id);
    }
    std::vector<std::uint32_t> leaving;
    m_guarded = 0;
    for (const auto& [service, count] : services) {
        if (count.ended.size() * 2 > count.members)
            m_guarded += count.ended.size();
        else
            leaving.insert(leaving.end(), count.ended.begin(), count.ended.end());
    }
    return leaving;
}

} // namespace yuccahook::control
