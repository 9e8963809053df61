#include "flow/BucketMap.h"

#include <doctest/doctest.h>

using namespace yuccahook;

namespace {

std::shared_ptr<flow::Membership> membershipOf(std::uint32_t members)
{
    auto membership = std::make_shared<flow::Membership>();
    membership->revision = members;
    flow::ServiceSpec service;
    service.id = 1;
    membership->services.push_back(service);
    for (std::uint32_t id = 2; id < members + 2; ++id) {
        flow::Member member;
        member.id = id;
        member.service = 1;
        membership->members.push_back(member);
    }
    return membership;
}

flow::FlowKey keyOf(std::uint16_t port) { return { { 1, 2, port }, 1 }; }

} // namespace

TEST_CASE("A bucket map gives every flow of a service one owner")
{
    SUBCASE("or none when the service has no member")
    {
        CHECK(flow::BucketMap(membershipOf(0)).ownerOf(keyOf(1)) == nullptr);
        CHECK(flow::BucketMap(membershipOf(3)).ownerOf({ { 1, 2, 3 }, 99 }) == nullptr);
    }

    SUBCASE("and a member that joins takes flows only from others to itself")
    {
        const flow::BucketMap before(membershipOf(7));
        const flow::BucketMap after(membershipOf(8));
        for (std::uint16_t port = 1; port < 2000; ++port) {
            const auto* owner = after.ownerOf(keyOf(port));
            CHECK((owner->id == 9 || owner->id == before.ownerOf(keyOf(port))->id));
        }
    }

    SUBCASE("and a draining member owns nothing while another is ready")
    {
        auto membership = membershipOf(3);
        membership->members[0].state = flow::MemberState::Draining;
        const flow::BucketMap map(membership);
        for (std::uint16_t port = 1; port < 500; ++port)
            CHECK(map.ownerOf(keyOf(port))->id != 2);
    }
}
