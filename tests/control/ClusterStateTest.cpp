#include "control/ClusterState.h"

#include <doctest/doctest.h>

using namespace yuccahook;
using control::NoteStatus;

namespace {

std::string noteText(int number, const std::string& author, const std::string& rest)
{
    return R"({"number":)" + std::to_string(number) + R"(,"author":")" + author + R"(",)" + rest + "}";
}

const std::string addListings = R"("added":[{"name":"listings","protocol":"http","address":"10.0.0.1:80"}])";

} // namespace

TEST_CASE("An accepted release note is final")
{
    control::ClusterState state(1);
    const auto submit = [&](const std::string& text) { return *state.apply(control::SubmitNote { text }); };
    const auto first = submit(noteText(1, "ana", addListings));
    REQUIRE(first.status == NoteStatus::Accepted);
    CHECK(first.revision == 1);
    CHECK(state.membership().serviceNamed("listings") != nullptr);

    SUBCASE("a resent note gets the first answer and changes nothing")
    {
        const auto again = submit(noteText(1, "ana", addListings));
        CHECK(again.status == NoteStatus::Accepted);
        CHECK(again.revision == 1);
        CHECK(state.membership().revision == 1);
    }

    SUBCASE("another note of the same number is refused with the author of the accepted one")
    {
        const auto other = submit(noteText(1, "ben", R"("withdrawn":["listings"])"));
        CHECK(other.status == NoteStatus::NumberTaken);
        CHECK(other.acceptedAuthor == "ana");
        CHECK(state.membership().revision == 1);
    }

    SUBCASE("a note based on an older revision is refused")
    {
        const auto other = submit(noteText(2, "ben", R"("basedOn":0,"withdrawn":["listings"])"));
        CHECK(other.status == NoteStatus::BaseRevisionMismatch);
        CHECK(other.revision == 1);
    }

    SUBCASE("all faults of a note are reported at once, and nothing of it is applied")
    {
        const auto other = submit(noteText(2, "ben",
            R"("added":[{"name":"listings","protocol":"http","address":"10.0.0.2:80"},)"
            R"({"name":"bids","protocol":"http","address":"10.0.0.1:80"}],"withdrawn":["catalogue"])"));
        CHECK(other.status == NoteStatus::Invalid);
        CHECK(other.faults.size() == 3);
        CHECK(state.membership().revision == 1);
    }

    SUBCASE("a service that is added again under a withdrawn name has a new id")
    {
        const auto id = state.membership().serviceNamed("listings")->id;
        submit(noteText(2, "ana", R"("withdrawn":["listings"])"));
        CHECK(state.membership().serviceNamed("listings") == nullptr);
        submit(noteText(3, "ana", addListings));
        CHECK(state.membership().serviceNamed("listings")->id != id);
    }
}

TEST_CASE("A restarted agent replaces its earlier incarnation")
{
    control::ClusterState state(1);
    flow::Member member;
    member.agent = "agent-1";
    member.incarnation = 10;
    state.apply(control::UpdateMembers { { member }, {}, {} });
    const auto first = state.membership().members.front().id;

    SUBCASE("the new incarnation has a new id")
    {
        member.incarnation = 11;
        state.apply(control::UpdateMembers { { member }, {}, {} });
        REQUIRE(state.membership().members.size() == 1);
        CHECK(state.membership().members.front().id != first);
    }

    SUBCASE("an older incarnation does not return")
    {
        member.incarnation = 9;
        state.apply(control::UpdateMembers { { member }, {}, {} });
        CHECK(state.membership().members.front().id == first);
    }

    SUBCASE("the full state is the applied one, and a delta that is not newer is refused")
    {
        member.agent = "agent-2";
        state.apply(control::UpdateMembers { { member }, {}, {} });
        state.apply(control::UpdateMembers { {}, { first }, {} });
        flow::Membership before;
        before.cluster = 1;
        const auto whole = flow::applyDelta(before, state.changesAfter(0));
        const auto steps = flow::applyDelta(
            *flow::applyDelta(before, control::ClusterState(state).changesAfter(0)), state.changesAfter(3));
        CHECK_FALSE(steps);
        CHECK(whole->members == state.membership().members);
    }
}
