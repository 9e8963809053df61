#pragma once

#include "flow/FlowKey.h"
#include "flow/Membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace yuccahook::flow {

/// Which member owns each bucket of each service at one revision. A pure function of the membership: weighted
/// rendezvous hashing over the service's ready members, or over its draining ones if none is ready.
class BucketMap {
public:
    /// Reuses the tables of `previous` for services whose members, weights and buckets have not changed.
    explicit BucketMap(MembershipPointer membership, const BucketMap* previous = nullptr);

    const Membership& membership() const { return *m_membership; }
    std::uint64_t revision() const { return m_membership->revision; }

    /// The member that owns the flow's bucket, or null if the service has no member.
    const Member* ownerOf(const FlowKey& key) const;

    /// The member that owns the bucket, or null if the service has no member or no such bucket.
    const Member* ownerOf(std::uint32_t service, std::uint32_t bucket) const;

    /// Number of services whose tables were computed rather than reused.
    std::size_t rebuiltTables() const { return m_rebuilt; }

    /// The bucket of a flow of a service with that many buckets.
    static std::uint32_t bucketOf(const FlowKey& key, std::uint32_t buckets);

private:
    using Table = std::vector<std::uint16_t>; // by bucket: index of its owner among the candidates

    struct Candidate {
        std::uint32_t id = 0;
        std::uint32_t weight = 0;

        bool operator==(const Candidate&) const = default;
    };

    struct ServiceTable {
        std::vector<Candidate> candidates;
        std::vector<const Member*> members; ///< The candidates' records in this membership, in the same order.
        std::shared_ptr<const Table> owners;
    };

    static Table compute(const std::vector<Candidate>& candidates, const ServiceSpec& service);

    MembershipPointer m_membership;
    std::map<std::uint32_t, ServiceTable> m_services; // by service id
    std::size_t m_rebuilt = 0;
};

} // namespace yuccahook::flow
