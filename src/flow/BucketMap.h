#pragma once

#include "flow/FlowKey.h"
#include "flow/Membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace yuccahook::flow {

/// Which member owns each bucket of each service at one revision: a pure function of the membership, by weighted
/// rendezvous over the service's ready members (draining ones when no other is left).
class BucketMap {
public:
    /// `previous` spares the work for services that have not changed since.
    explicit BucketMap(MembershipPointer membership, const BucketMap* previous = nullptr);

    const Membership& membership() const { return *m_membership; }
    std::uint64_t revision() const { return m_membership->revision; }

    /// The member that owns the flow's bucket, or null when the service has none.
    const Member* ownerOf(const FlowKey& key) const;

    const Member* ownerOf(std::uint32_t service, std::uint32_t bucket) const;

    /// How many services' tables were computed, not taken over.
    std::size_t rebuiltTables() const { return m_rebuilt; }

    static std::uint32_t bucketOf(const FlowKey& key, std::uint32_t buckets);

private:
    using Table = std::vector<std::uint16_t>; // by bucket: index of the owner among the candidates

    struct Candidate {
        std::uint32_t id = 0;
        std::uint32_t weight = 0;

        bool operator==(const Candidate&) const = default;
    };

    struct ServiceTable {
        std::vector<Candidate> candidates;
        std::vector<const Member*> members; ///< The candidates in this membership.
        std::shared_ptr<const Table> owners;
    };

    static Table compute(const std::vector<Candidate>& candidates, const ServiceSpec& service);

    MembershipPointer m_membership;
    std::map<std::uint32_t, ServiceTable> m_services; // by service id
    std::size_t m_rebuilt = 0;
};

} // namespace yuccahook::flow
