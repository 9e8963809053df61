#include "control/ViewCache.h"

#include <doctest/doctest.h>

namespace yuccahook::control {

namespace {

constexpr std::uint32_t routes = 5000;

flow::MembershipDelta largeDelta()
{
    flow::MembershipDelta delta;
    delta.cluster = 1;
    delta.revision = 9;
    delta.full = true;
    delta.routeVersion = 4;
    for (std::uint32_t index = 0; index < routes; ++index) {
        flow::PacketRoute route;
        route.name = "r-" + std::to_string(index * 2'654'435'761U);
        route.address = *net::Address::parse(
            "198.18." + std::to_string(index / 200) + "." + std::to_string(index % 200) + ":8080");
        route.targets = { { "listings", 1 } };
        delta.routes.push_back(std::move(route));
    }
    return delta;
}

} // namespace

// Guards against balancers that keep their old routes because a view of thousands of routes is longer under way on a
// link of 2 Mbit/s than a change may take.
TEST_CASE("A view of thousands of routes takes a second of a link of 2 Mbit/s at most")
{
    constexpr std::size_t bytesPerSecond = 2'000'000 / 8;
    const auto delta = largeDelta();
    const std::string bytes = encodeView(delta);
    CHECK(bytes.size() <= bytesPerSecond);
    const auto read = decodeView(bytes);
    REQUIRE(read.has_value());
    CHECK(read->routes == delta.routes);
    CHECK(read->revision == delta.revision);
    CHECK(read->full);
}

TEST_CASE("A view is encoded once for all subscribers that ask for the same")
{
    ViewCache cache;
    int made = 0;
    const auto make = [&made] {
        ++made;
        auto delta = largeDelta();
        delta.revision = static_cast<std::uint64_t>(made);
        return delta;
    };
    const std::string first = cache.view(9, { 3, std::nullopt }, make);
    CHECK(cache.view(9, { 3, std::nullopt }, make) == first);
    CHECK(made == 1);

    SUBCASE("another revision, at the subscriber or in force, is another view")
    {
        CHECK(cache.view(9, { 4, std::nullopt }, make) != first);
        CHECK(cache.view(10, { 3, std::nullopt }, make) != first);
        CHECK(made == 3);
    }
    SUBCASE("a subscriber to some services has views of its own")
    {
        CHECK(cache.view(9, { 3, std::set<std::string> { "listings" } }, make) != first);
        CHECK(cache.view(9, { 3, std::set<std::string> {} }, make) != first);
        CHECK(cache.view(9, { 3, std::set<std::string> { "listings" } }, make) != first);
        CHECK(made == 3);
    }
    SUBCASE("a view that was discarded is made again")
    {
        cache.clear();
        CHECK(cache.view(9, { 3, std::nullopt }, make) != first);
    }
    SUBCASE("a limited number is kept")
    {
        for (std::uint64_t after = 0; after < 3 * ViewCache::maximumViews; ++after)
            cache.view(9, { after, std::nullopt }, make);
        const int before = made;
        cache.view(9, { 0, std::nullopt }, make);
        CHECK(made == before + 1);
    }
}

TEST_CASE("A damaged view is refused")
{
    const std::string bytes = encodeView(largeDelta());
    CHECK_FALSE(decodeView(bytes.substr(0, bytes.size() / 2)).has_value());
    CHECK_FALSE(decodeView("x").has_value());
}

} // namespace yuccahook::control
