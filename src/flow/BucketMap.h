#pragma once

#include "flow/FlowKey.h"
#include "flow/Membership.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccahook::flow {

/// Which member owns each bucket of each service at one revision: a pure function of the membership, by weighted
/// rendezvous over the service's ready members (draining ones when no other is left).
class BucketMap {
public:
    explicit BucketMap(MembershipPointer membership);

    const Membership& membership() const { return *m_membership; }
    std::uint64_t revision() const { return m_membership->revision; }

    /// The member that owns the flow's bucket, or null when the service has none.
    const Member* ownerOf(const FlowKey& key) const;

    static std::uint32_t bucketOf(const FlowKey& key, std::uint32_t buckets);

private:
    MembershipPointer m_membership;
    std::map<std::uint32_t, std::vector<const Member*>> m_owners; // by service id, then bucket
};

} // namespace yuccahook::flow
