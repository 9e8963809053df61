#include "flow/BucketMap.h"

#include <array>
#include <cmath>
#include <xxhash.h>

namespace yuccahook::flow {

namespace {

// Weighted rendezvous: the member with the highest score owns the bucket.
double scoreOf(const Member& member, std::uint32_t service, std::uint32_t bucket)
{
    const std::array<std::uint32_t, 3> words { member.id, service, bucket };
    const std::uint64_t hash = XXH3_64bits(words.data(), sizeof(words));
    constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * unit;
    return member.weight / -std::log(uniform);
}

std::vector<const Member*> candidatesOf(const Membership& membership, std::uint32_t service)
{
    std::vector<const Member*> ready;
    std::vector<const Member*> draining;
    for (const auto& member : membership.members) {
        if (member.service != service || member.state == MemberState::Lost)
            continue;
        (member.state == MemberState::Ready ? ready : draining).push_back(&member);
    }
    return ready.empty() ? draining : ready;
}

} // namespace

BucketMap::BucketMap(MembershipPointer membership)
    : m_membership(std::move(membership))
{
    for (const auto& service : m_membership->services) {
        const auto candidates = candidatesOf(*m_membership, service.id);
        if (candidates.empty())
            continue;
        auto& owners = m_owners[service.id];
        owners.reserve(service.buckets);
        for (std::uint32_t bucket = 0; bucket < service.buckets; ++bucket) {
            const Member* best = nullptr;
            double bestScore = -1;
            for (const Member* candidate : candidates) {
                const double score = scoreOf(*candidate, service.id, bucket);
                if (score <= bestScore)
                    continue;
                best = candidate;
                bestScore = score;
            }
            owners.push_back(best);
        }
    }
}

const Member* BucketMap::ownerOf(const FlowKey& key) const
{
    const auto found = m_owners.find(key.service);
    if (found == m_owners.end())
        return nullptr;
    return found->second[bucketOf(key, found->second.size())];
}

std::uint32_t BucketMap::bucketOf(const FlowKey& key, std::uint32_t buckets) { return hashOf(key) % buckets; }

} // namespace yuccahook::flow
