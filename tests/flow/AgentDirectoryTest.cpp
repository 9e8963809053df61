#include "flow/AgentDirectory.h"

#include <doctest/doctest.h>

using namespace yuccahook::flow;

namespace {

constexpr std::uint64_t now = 100'000;

Membership siteOf(std::initializer_list<std::string> domains)
{
    Membership membership;
    membership.revision = 1;
    ServiceSpec service;
    service.id = 1;
    service.name = "listings";
    service.protocol = Protocol::Packet;
    membership.services = { service };
    for (const auto& domain : domains) {
        Member member;
        member.id = static_cast<std::uint32_t>(membership.members.size() + 1);
        member.service = 1;
        member.trunk = PacketEndpoint { member.id, 7000 }.address();
        member.domain = domain;
        membership.members.push_back(member);
    }
    return membership;
}

} // namespace

TEST_CASE("A new flow goes where it is served soonest, near ones first")
{
    auto membership = siteOf({ "near", "near", "far" });
    AgentDirectory agents("near", 1);
    agents.setMembership(membership);
    const auto load
        = [&agents](std::uint32_t member, std::uint16_t busy, bool accepts = true, std::uint64_t heard = now) {
              REQUIRE(agents.report({ member, 7000 }, { accepts, 4, busy }, heard));
          };
    const auto chosen = [&agents](const std::vector<std::uint32_t>& excluded = {}) {
        const auto* agent = agents.choose(1, excluded, now);
        return agent ? agent->member : 0;
    };
    load(1, 2);
    load(2, 1);
    load(3, 0);

    SUBCASE("to the emptier of the near ones") { CHECK(chosen() == 2); }

    SUBCASE("to a far one when the near ones have no free slot")
    {
        load(1, 4);
        load(2, 5);
        CHECK(chosen() == 3);
    }

    SUBCASE("to the shortest queue when none has a free slot")
    {
        load(1, 6);
        load(2, 5);
        load(3, 8);
        CHECK(chosen() == 2);
    }

    SUBCASE("not to one that refuses, leaves, has fallen silent or was tried")
    {
        load(2, 0, false);
        CHECK(chosen() == 1);
        load(2, 0, true, now - 5000);
        CHECK(chosen() == 1);
        CHECK(chosen({ 1 }) == 3);
        membership.members[0].state = MemberState::Draining;
        agents.setMembership(membership);
        CHECK(chosen() == 3);
    }

    SUBCASE("flows sent since the last report count")
    {
        agents.addFlow({ 2, 7000 });
        agents.addFlow({ 2, 7000 });
        CHECK(chosen() == 1);
    }

    SUBCASE("any agent is better than none")
    {
        load(1, 0, false);
        CHECK(chosen({ 2, 3 }) == 1);
        CHECK(chosen({ 1, 2, 3 }) == 0);
        CHECK(agents.choose(2, {}, now) == nullptr);
    }

    SUBCASE("a report of an unknown agent is not taken") { CHECK_FALSE(agents.report({ 9, 7000 }, {}, now)); }
}
