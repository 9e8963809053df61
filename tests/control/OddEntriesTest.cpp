#include "control/ClusterState.h"
#include "control/MembershipCodec.h"
#include "control/SnapshotCodec.h"
#include "flow/AgentDirectory.h"

#include <capnp/message.h>
#include <doctest/doctest.h>
#include <limits>

namespace yuccahook::control {

namespace {

const std::string nameWithZero("listings\0of another writer", 26);

flow::RouteTable tableWith(const std::string& service)
{
    flow::RouteTable table;
    table.version = 1;
    table.services = { { "listings", {} }, { service, {} } };
    flow::PacketRoute route;
    route.address = *net::Address::parse("198.18.0.1:80");
    route.name = "odd";
    route.targets = { { service, 1 } };
    table.routes = { route };
    return table;
}

// As an agent of another release, or a damaged one, might announce itself.
flow::Member oddMember(std::uint32_t service)
{
    flow::Member member;
    member.agent = std::string(70'000, 'a') + std::string("\0\xff\xfe", 3);
    member.domain = "\xc3\x28";
    member.service = service;
    member.incarnation = std::numeric_limits<std::uint64_t>::max();
    member.weight = std::numeric_limits<std::uint32_t>::max();
    member.slots = std::numeric_limits<std::uint32_t>::max();
    member.connections = std::numeric_limits<std::uint32_t>::max();
    member.state = static_cast<flow::MemberState>(250);
    return member;
}

} // namespace

// Guards against a route that is not served, and a backend server that gets another service's requests, because a name
// is taken for its part before a zero byte.
TEST_CASE("A service whose name has a zero byte is not taken for another one")
{
    const auto command = decode(encodeCommand(PublishRoutes { tableWith(nameWithZero) }));
    REQUIRE(command.has_value());
    ClusterState state(1);
    state.apply(*command);
    const auto& membership = state.membership();
    const auto* odd = membership.serviceNamed(nameWithZero);
    REQUIRE(odd != nullptr);
    CHECK(membership.services.size() == 2);
    CHECK(membership.serviceNamed("listings")->id != odd->id);
    CHECK(membership.serviceNamed(membership.routes.front().targets.front().service) == odd);

    capnp::MallocMessageBuilder message;
    auto announcement = message.initRoot<schema::Announcement>();
    announcement.setService(textOf(nameWithZero));
    CHECK(stringOf(announcement.asReader().getService()) == nameWithZero);
    CHECK(membership.serviceNamed(stringOf(announcement.asReader().getService())) == odd);
}

// Guards against processes that end again and again, or stop following the list, for one odd member in it.
TEST_CASE("An odd member is stored, read back and passed on like others")
{
    ClusterState state(1);
    state.apply(PublishRoutes { tableWith("inspections") });
    const std::uint32_t service = state.membership().serviceNamed("listings")->id;
    auto usual = oddMember(service);
    usual.agent = "usual";
    usual.domain = "domain";
    usual.state = flow::MemberState::Ready;
    usual.trunk = *net::Address::parse("10.0.0.1:7000");
    state.apply(UpdateMembers { { oddMember(service), usual, oddMember(service + 1000) }, {}, {} });
    REQUIRE(state.membership().members.size() >= 2);
    const auto members = state.membership().members;

    SUBCASE("by a snapshot")
    {
        const auto image = decodeImage(encodeImage(state.image()));
        REQUIRE(image.has_value());
        CHECK(image->membership.members == members);
    }
    SUBCASE("by a view, from which a balancer takes its agents")
    {
        capnp::MallocMessageBuilder message;
        auto view = message.initRoot<schema::View>();
        writeDelta(view, state.changesAfter(0));
        const auto followed = flow::applyDelta({}, readDelta(view.asReader()));
        REQUIRE(followed != nullptr);
        CHECK(followed->members == members);
        flow::AgentDirectory directory("domain", 1, {}, {});
        directory.setMembership(*followed, 1);
        directory.setMembership(*followed, 2);
        CHECK(directory.agents().size() == members.size() - (members.back().service == service + 1000 ? 1 : 0));
    }
}

} // namespace yuccahook::control
