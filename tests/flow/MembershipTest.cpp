#include "flow/Membership.h"

#include <doctest/doctest.h>

using namespace yuccahook;

TEST_CASE("A membership takes only newer deltas of its own cluster")
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

    SUBCASE("a newer one adds, changes and removes")
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

    SUBCASE("an equal or lower revision is refused")
    {
        delta.revision = 5;
        CHECK_FALSE(flow::applyDelta(before, delta));
    }

    SUBCASE("another cluster's is refused")
    {
        delta.cluster = 8;
        CHECK_FALSE(flow::applyDelta(before, delta));
    }

    SUBCASE("a full state replaces everything")
    {
        delta.full = true;
        CHECK(flow::applyDelta(before, delta)->members.empty());
    }
}
