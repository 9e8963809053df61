#include "Scenario.h"
#include "flow/BucketMap.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <numeric>
#include <vector>
#include <xxhash.h>

namespace yuccahook::bench {

namespace {

using Clock = std::chrono::steady_clock;
using Owners = std::vector<std::uint32_t>; // member id by bucket
using Members = std::vector<std::uint32_t>;
using AssignBuckets = std::function<Owners(const Members&, std::uint32_t service, std::uint32_t buckets)>;

constexpr std::uint32_t firstMember = 1000;

std::uint64_t hashWords(std::uint32_t first, std::uint32_t second, std::uint32_t third)
{
    const std::array<std::uint32_t, 3> words { first, second, third };
    return XXH3_64bits(words.data(), sizeof(words));
}

flow::MembershipPointer membershipOf(const std::map<std::uint32_t, Members>& services, std::uint32_t buckets)
{
    auto membership = std::make_shared<flow::Membership>();
    membership->revision = 1;
    for (const auto& [id, members] : services) {
        flow::ServiceSpec service;
        service.id = id;
        service.buckets = buckets;
        membership->services.push_back(service);
        for (const std::uint32_t member : members) {
            flow::Member entry;
            entry.id = member;
            entry.service = id;
            membership->members.push_back(entry);
        }
    }
    std::sort(membership->members.begin(), membership->members.end(),
        [](const flow::Member& one, const flow::Member& other) { return one.id < other.id; });
    return membership;
}

Owners rendezvous(const Members& members, std::uint32_t service, std::uint32_t buckets)
{
    const flow::BucketMap map(membershipOf({ { service, members } }, buckets));
    Owners owners(buckets);
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket)
        owners[bucket] = map.ownerOf(service, bucket)->id;
    return owners;
}

// Consistent hashing: a bucket belongs to the member of the first point on the ring at or after its own hash.
Owners hashRing(const Members& members, std::uint32_t service, std::uint32_t buckets)
{
    constexpr std::uint32_t pointsPerMember = 160;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> points;
    points.reserve(members.size() * pointsPerMember);
    for (const std::uint32_t member : members) {
        for (std::uint32_t point = 0; point < pointsPerMember; ++point)
            points.emplace_back(hashWords(member, service, point), member);
    }
    std::sort(points.begin(), points.end());
    Owners owners(buckets);
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
        const auto after
            = std::lower_bound(points.begin(), points.end(), std::pair { hashWords(bucket, service, 0), 0U });
        owners[bucket] = after != points.end() ? after->second : points.front().second;
    }
    return owners;
}

// Maglev hashing: the members take turns, each gets the first free bucket in its own permutation of the buckets.
Owners maglev(const Members& members, std::uint32_t service, std::uint32_t buckets)
{
    constexpr std::uint32_t none = 0;
    Owners owners(buckets, none);
    std::vector<std::uint32_t> tried(members.size());
    for (std::uint32_t assigned = 0; assigned < buckets;) {
        for (std::size_t index = 0; index < members.size() && assigned < buckets; ++index) {
            const std::uint64_t hash = hashWords(members[index], service, 0);
            const auto offset = static_cast<std::uint32_t>(hash >> 32);
            // Odd, so that the steps visit every bucket of a power of two.
            const auto skip = static_cast<std::uint32_t>(hash) | 1;
            std::uint32_t bucket = none;
            do
                bucket = (offset + tried[index]++ * skip) % buckets;
            while (owners[bucket] != none);
            owners[bucket] = members[index];
            ++assigned;
        }
    }
    return owners;
}

Owners modulo(const Members& members, std::uint32_t, std::uint32_t buckets)
{
    Owners owners(buckets);
    for (std::uint32_t bucket = 0; bucket < buckets; ++bucket)
        owners[bucket] = members[bucket % members.size()];
    return owners;
}

// Buckets that change owner, relative to the minimum of an even assignment (1 / largerMemberCount of all buckets).
double relativeMovement(const Owners& before, const Owners& after, std::size_t largerMemberCount)
{
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < before.size(); ++bucket)
        moved += before[bucket] != after[bucket] ? 1 : 0;
    return static_cast<double>(moved) * largerMemberCount / before.size();
}

double maximumOverMean(const Owners& owners, std::size_t members)
{
    std::map<std::uint32_t, std::size_t> counts;
    for (const std::uint32_t owner : owners)
        ++counts[owner];
    std::size_t most = 0;
    for (const auto& [member, count] : counts)
        most = std::max(most, count);
    return static_cast<double>(most) * members / owners.size();
}

double millisecondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
}

nlohmann::json measureAssignment(
    const AssignBuckets& assign, const std::map<std::uint32_t, Members>& services, std::uint32_t buckets)
{
    const auto begin = Clock::now();
    std::map<std::uint32_t, Owners> tables;
    for (const auto& [service, members] : services)
        tables[service] = assign(members, service, buckets);
    const double buildMilliseconds = millisecondsSince(begin);
    double joinMovement = 0;
    double leaveMovement = 0;
    double imbalance = 0;
    double worst = 0;
    constexpr std::uint32_t joiningMember = 900'000;
    for (const auto& [service, members] : services) {
        Members more = members;
        more.push_back(joiningMember);
        Members fewer = members;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(fewer.size() / 2));
        const auto& table = tables[service];
        joinMovement += relativeMovement(table, assign(more, service, buckets), more.size()) / services.size();
        leaveMovement += relativeMovement(table, assign(fewer, service, buckets), members.size()) / services.size();
        const double ratio = maximumOverMean(table, members.size());
        imbalance += ratio / services.size();
        worst = std::max(worst, ratio);
    }
    return { { "build_all_ms", buildMilliseconds }, { "moved_at_join_over_needed", joinMovement },
        { "moved_at_leave_over_needed", leaveMovement }, { "buckets_max_over_mean", imbalance },
        { "buckets_worst_over_mean", worst } };
}

// Times in which a process builds a whole map and updates it for one more member.
nlohmann::json measureMap(std::map<std::uint32_t, Members> services, std::uint32_t buckets)
{
    const auto before = membershipOf(services, buckets);
    services.begin()->second.push_back(900'000);
    const auto after = membershipOf(services, buckets);
    const auto begin = Clock::now();
    const flow::BucketMap first(before);
    const double buildMilliseconds = millisecondsSince(begin);
    const auto again = Clock::now();
    const flow::BucketMap second(after, &first);
    return { { "map_build_ms", buildMilliseconds }, { "map_update_ms", millisecondsSince(again) },
        { "services_rebuilt", second.rebuiltTables() },
        { "table_bytes", services.size() * buckets * sizeof(std::uint16_t) } };
}

nlohmann::json run(const ScenarioOptions& options)
{
    const std::uint32_t serviceCount = options.number("services", 420);
    const std::uint32_t memberCount = options.number("members", 4'500);
    const std::uint32_t buckets = options.number("buckets", 256);
    std::map<std::uint32_t, Members> services;
    for (std::uint32_t index = 0; index < memberCount; ++index)
        services[1 + index % serviceCount].push_back(
            firstMember + static_cast<std::uint32_t>(options.seed) * memberCount + index);
    nlohmann::json result;
    result["ours"] = measureAssignment(rendezvous, services, buckets);
    result["ours"].update(measureMap(services, buckets));
    result["ring"] = measureAssignment(hashRing, services, buckets);
    result["maglev"] = measureAssignment(maglev, services, buckets);
    result["naive"] = measureAssignment(modulo, services, buckets);
    return result;
}

const ScenarioRegistration registration { { "placement",
    "Assignments of buckets to the members of a service; ours is weighted rendezvous, naive is modulo",
    "--services N (420) --members N (4500) --buckets N, a power of two (256)", run } };

} // namespace

} // namespace yuccahook::bench
