#include "control/LeaseTable.h"

#include <doctest/doctest.h>

using namespace yuccahook;
using std::chrono::seconds;

namespace {

flow::Membership membershipOf(std::uint32_t members)
{
    flow::Membership membership;
    for (std::uint32_t id = 1; id <= members; ++id) {
        flow::Member member;
        member.id = id;
        member.service = 100;
        membership.members.push_back(member);
    }
    return membership;
}

} // namespace

TEST_CASE("A member is removed when its lease expires")
{
    control::LeaseTable leases;
    const auto membership = membershipOf(4);
    CHECK(leases.expired(membership, seconds(0)).empty());
    const auto renew = [&](std::uint32_t first, std::uint32_t last, seconds now) {
        for (std::uint32_t id = first; id <= last; ++id)
            leases.renew(id, now);
    };

    SUBCASE("members that announce themselves stay")
    {
        renew(1, 3, seconds(9));
        CHECK(leases.expired(membership, seconds(10)).empty());
        CHECK(leases.expired(membership, seconds(11)) == std::vector<std::uint32_t> { 4 });
    }

    SUBCASE("when most members of a service expire at once they stay until fewer are missing")
    {
        renew(1, 1, seconds(9));
        CHECK(leases.expired(membership, seconds(11)).empty());
        CHECK(leases.guardedMembers() == 3);
        renew(1, 2, seconds(12));
        CHECK(leases.expired(membership, seconds(13)) == std::vector<std::uint32_t> { 3, 4 });
        CHECK(leases.guardedMembers() == 0);
    }

    SUBCASE("a new leader gives each member a full lease")
    {
        leases.clear();
        CHECK(leases.expired(membership, seconds(1000)).empty());
        CHECK(leases.expired(membership, seconds(1009)).empty());
    }
}
