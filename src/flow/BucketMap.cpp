#include "flow/BucketMap.h"

#include <array>
#include <cmath>
#include <unordered_map>
#include <xxhash.h>

namespace yuccahook::flow {

namespace {

// Weighted rendezvous hashing: the member with the highest score owns the bucket.
double scoreOf(std::uint32_t member, std::uint32_t weight, std::uint32_t service, std::uint32_t bucket)
{
    const std::array<std::uint32_t, 3> words { member, service, bucket };
    const std::uint64_t hash = XXH3_64bits(words.data(), sizeof(words));
    constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * unit;
    return weight / -std::log(uniform);
}

struct Candidates {
    std::vector<const Member*> ready;
    std::vector<const Member*> draining;
};

std::unordered_map<std::uint32_t, Candidates> candidatesByService(const Membership& membership)
{
    std::unordered_map<std::uint32_t, Candidates> byService;
    for (const auto& member : membership.members) {
        if (member.state == MemberState::Lost)
            continue;
        auto& candidates = byService[member.service];
        (member.state == MemberState::Ready ? candidates.ready : candidates.draining).push_back(&member);
    }
    return byService;
}

} // namespace

BucketMap::BucketMap(MembershipPointer membership, const BucketMap* previous)
    : m_membership(std::move(membership))
{
    auto byService = candidatesByService(*m_membership);
    for (const auto& service : m_membership->services) {
        auto& [ready, draining] = byService[service.id];
        ServiceTable table;
        table.members = ready.empty() ? std::move(draining) : std::move(ready);
        if (table.members.empty())
            continue;
        for (const Member* member : table.members)
            table.candidates.push_back({ member->id, member->weight });
        if (previous) {
            const auto before = previous->m_services.find(service.id);
            const bool same = before != previous->m_services.end() && before->second.candidates == table.candidates
                && before->second.owners->size() == service.buckets;
            if (same)
                table.owners = before->second.owners;
        }
        if (!table.owners) {
            table.owners = std::make_shared<const Table>(compute(table.candidates, service));
            ++m_rebuilt;
        }
        m_services.emplace(service.id, std::move(table));
    }
}

BucketMap::Table BucketMap::compute(const std::vector<Candidate>& candidates, const ServiceSpec& service)
{
    Table owners(service.buckets);
    for (std::uint32_t bucket = 0; bucket < service.buckets; ++bucket) {
        double bestScore = -1;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const double score = scoreOf(candidates[index].id, candidates[index].weight, service.id, bucket);
            if (score <= bestScore)
                continue;
            owners[bucket] = static_cast<std::uint16_t>(index);
            bestScore = score;
        }
    }
    return owners;
}

const Member* BucketMap::ownerOf(const FlowKey& key) const
{
    const auto found = m_services.find(key.service);
    if (found == m_services.end())
        return nullptr;
    const ServiceTable& table = found->second;
    return table.members[(*table.owners)[bucketOf(key, table.owners->size())]];
}

const Member* BucketMap::ownerOf(std::uint32_t service, std::uint32_t bucket) const
{
    const auto found = m_services.find(service);
    const bool exists = found != m_services.end() && bucket < found->second.owners->size();
    return exists ? found->second.members[(*found->second.owners)[bucket]] : nullptr;
}

std::uint32_t BucketMap::bucketOf(const FlowKey& key, std::uint32_t buckets) { return hashOf(key) % buckets; }

} // namespace yuccahook::flow
