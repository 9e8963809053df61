#include "flow/Membership.h"

#include <doctest/doctest.h>

using namespace yuccahook;

TEST_CASE("Only newer deltas of the same cluster are applied to a membership")
{
    flow::Membership before;
    before.cluster = 7;
    before.revision = 5;
    flow::Member member;
    member.id = 3;
    before.members.push_back(member);

    flow::MembershipDelta delta;
    delta.cluster = 7;
    delta.revision = 6;

    SUBCASE("a newer delta adds and removes members")
    {
        flow::Member other;
        other.id = 2;
        delta.members.push_back(other);
        delta.removedMembers.push_back(3);
        const auto after = flow::applyDelta(before, delta);
        REQUIRE(after);
        CHECK(after->revision == 6);
        CHECK(after->member(2) != nullptr);
        CHECK(after->member(3) == nullptr);
    }

    SUBCASE("a delta with an equal revision is rejected")
    {
        delta.revision = 5;
        CHECK_FALSE(flow::applyDelta(before, delta));
    }

    SUBCASE("a delta of another cluster is rejected")
    {
        delta.cluster = 8;
        CHECK_FALSE(flow::applyDelta(before, delta));
    }

    SUBCASE("all services are known only after a full delta that has them all, and while each delta has")
    {
        flow::ServiceSpec service;
        service.name = "listings";
        delta.services = { service };
        delta.hasAllServices = true;
        CHECK_FALSE(flow::applyDelta(before, delta)->hasAllServices);
        CHECK(flow::applyDelta(before, delta)->mayHaveService("inspections"));
        delta.full = true;
        auto after = flow::applyDelta(before, delta);
        REQUIRE(after->hasAllServices);
        CHECK(after->mayHaveService("listings"));
        CHECK_FALSE(after->mayHaveService("inspections"));
        flow::MembershipDelta earlierRelease;
        earlierRelease.cluster = 7;
        earlierRelease.revision = 7;
        CHECK_FALSE(flow::applyDelta(*after, earlierRelease)->hasAllServices);
    }

    SUBCASE("a full delta replaces all members")
    {
        delta.full = true;
        CHECK(flow::applyDelta(before, delta)->members.empty());
    }
}
