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

TEST_CASE("A bucket map assigns one owner to every flow of a service")
{
    SUBCASE("or none if the service has no member")
    {
        CHECK(flow::BucketMap(membershipOf(0)).ownerOf(keyOf(1)) == nullptr);
        CHECK(flow::BucketMap(membershipOf(3)).ownerOf({ { 1, 2, 3 }, 99 }) == nullptr);
    }

    SUBCASE("and a joining member moves flows only to itself")
    {
        const flow::BucketMap before(membershipOf(7));
        const flow::BucketMap after(membershipOf(8));
        for (std::uint16_t port = 1; port < 2000; ++port) {
            const auto* owner = after.ownerOf(keyOf(port));
            CHECK((owner->id == 9 || owner->id == before.ownerOf(keyOf(port))->id));
        }
    }

    SUBCASE("and a draining member owns no flow while another is ready")
    {
        auto membership = membershipOf(3);
        membership->members[0].state = flow::MemberState::Draining;
        const flow::BucketMap map(membership);
        for (std::uint16_t port = 1; port < 500; ++port)
            CHECK(map.ownerOf(keyOf(port))->id != 2);
    }
}

TEST_CASE("A bucket map reuses the tables of services that have not changed")
{
    auto membership = membershipOf(5);
    flow::ServiceSpec other;
    other.id = 2;
    membership->services.push_back(other);
    flow::Member alone;
    alone.id = 50;
    alone.service = 2;
    membership->members.push_back(alone);
    const flow::BucketMap before(membership);
    CHECK(before.rebuiltTables() == 2);

    const auto sameAsNew = [&](const flow::MembershipPointer& changed, std::size_t rebuilt) {
        const flow::BucketMap updated(changed, &before);
        const flow::BucketMap fresh(changed);
        CHECK(updated.rebuiltTables() == rebuilt);
        for (std::uint16_t port = 1; port < 500; ++port) {
            CHECK(updated.ownerOf(keyOf(port)) == fresh.ownerOf(keyOf(port)));
            CHECK(updated.ownerOf({ { 1, 2, port }, 2 }) == fresh.ownerOf({ { 1, 2, port }, 2 }));
        }
    };
    auto after = std::make_shared<flow::Membership>(*membership);

    SUBCASE("when only an address changes")
    {
        after->members[0].trunk.port = 9;
        sameAsNew(after, 0);
    }

    SUBCASE("when one service loses a member")
    {
        after->members.erase(after->members.begin());
        sameAsNew(after, 1);
    }

    SUBCASE("when a weight changes")
    {
        after->members[0].weight = 30;
        sameAsNew(after, 1);
    }

    SUBCASE("when a service's only member drains")
    {
        after->members.back().state = flow::MemberState::Draining;
        sameAsNew(after, 0);
    }

    SUBCASE("when a service has more buckets")
    {
        after->services[1].buckets = 512;
        sameAsNew(after, 1);
    }
}
