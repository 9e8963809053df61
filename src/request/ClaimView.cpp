#include "request/ClaimView.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace yuccahook::request {

namespace {

std::uint64_t scoreOf(std::uint32_t member, std::string_view key)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), member);
}

} // namespace

ClaimView::ClaimView(std::uint64_t revision, std::uint32_t self, std::vector<ClaimMember> members)
    : m_revision(revision)
    , m_self(self)
    , m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end(),
        [](const ClaimMember& left, const ClaimMember& right) { return left.id < right.id; });
    std::vector<std::uint32_t> ids;
    for (const auto& member : m_members)
        ids.push_back(member.id);
    m_hash = XXH3_64bits(ids.data(), ids.size() * sizeof(ids[0]));
}

ClaimView ClaimView::fromMembership(const flow::Membership& membership, std::uint32_t self)
{
    std::vector<ClaimMember> members;
    const flow::Member* own = membership.member(self);
    for (const auto& member : membership.members) {
        if (own && member.service == own->service)
            members.push_back({ member.id, member.domain });
    }
    return { membership.revision, self, std::move(members) };
}

const ClaimMember* ClaimView::find(std::uint32_t member) const
{
    const auto found = std::lower_bound(m_members.begin(), m_members.end(), member,
        [](const ClaimMember& entry, std::uint32_t id) { return entry.id < id; });
    return found != m_members.end() && found->id == member ? &*found : nullptr;
}

std::vector<ClaimMember> ClaimView::ranked(std::string_view key) const
{
    std::vector<ClaimMember> result = m_members;
    std::sort(result.begin(), result.end(), [key](const ClaimMember& left, const ClaimMember& right) {
        return scoreOf(left.id, key) > scoreOf(right.id, key);
    });
    return result;
}

std::uint32_t ClaimView::homeOf(std::string_view key) const
{
    const auto best = std::max_element(
        m_members.begin(), m_members.end(), [key](const ClaimMember& left, const ClaimMember& right) {
            return scoreOf(left.id, key) < scoreOf(right.id, key);
        });
    return best != m_members.end() ? best->id : 0;
}

std::size_t ClaimView::domainCount() const
{
    std::set<std::string_view> domains;
    for (const auto& member : m_members)
        domains.insert(member.domain);
    return domains.size();
}

} // namespace yuccahook::request
