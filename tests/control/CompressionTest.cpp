#include "control/Compression.h"

#include "control/Command.h"
#include "control/SnapshotCodec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccahook::control {

namespace {

// A table as an operator sends it: routes with names and addresses of their own that share a few services.
flow::RouteTable tableOf(std::uint32_t routes)
{
    flow::RouteTable table;
    table.version = 7;
    table.services = { { "listings", {} }, { "inspections", {} } };
    table.document = "[";
    for (std::uint32_t index = 0; index < routes; ++index) {
        flow::PacketRoute route;
        route.name = "r-" + std::to_string(index * 2'654'435'761U);
        route.address = *net::Address::parse(
            "198.18." + std::to_string(index / 200) + "." + std::to_string(index % 200) + ":8080");
        route.targets = { { index % 3 == 0 ? "listings" : "inspections", 1 } };
        route.timeoutMillis = 2000;
        table.document += R"({"name":")" + route.name + R"(","host":")" + route.address.host()
            + R"(","pathPrefix":"/8080/","kind":"safe","timeoutMs":2000,"latencyGoalMs":300,"priority":1,"service":")"
            + route.targets.front().service + R"(","maxAttempts":2},)";
        table.routes.push_back(std::move(route));
    }
    table.document.back() = ']';
    return table;
}

} // namespace

// Guards against changes that are confirmed late because a table is copied to every instance at its full size.
TEST_CASE("A large table is a small entry of the log")
{
    const auto table = tableOf(7000);
    const std::string bytes = encodeCommand(PublishRoutes { table });
    CHECK(bytes.size() < table.document.size() / 4);
    const auto decoded = decode(bytes);
    REQUIRE(decoded.has_value());
    const auto& read = std::get<PublishRoutes>(*decoded).table;
    CHECK(read.document == table.document);
    CHECK(read.routes == table.routes);
}

TEST_CASE("Compressed bytes are the same after decompression")
{
    SUBCASE("whatever they are")
    {
        const bool isSame = rc::check("compress and decompress", [](const std::string& text, std::uint8_t copies) {
            std::string bytes("plain: "); // Cap'n Proto messages do not begin like a frame either
            for (int copy = 0; copy <= copies; ++copy)
                bytes += text;
            RC_ASSERT(decompress(compress(bytes)) == bytes);
        });
        CHECK(isSame);
    }
    SUBCASE("entries and snapshots of an earlier release, which never were compressed, can be read")
    {
        const std::string stored(4096, '\0');
        CHECK(decompress(stored) == stored);
        CHECK(decompress("") == "");
    }
    SUBCASE("a snapshot with a large table can be read")
    {
        ClusterImage image;
        image.membership.revision = 3;
        image.membership.routes = tableOf(3000).routes;
        image.routeDocument = tableOf(3000).document;
        const auto read = decodeImage(encodeImage(image));
        REQUIRE(read.has_value());
        CHECK(read->membership.routes == image.membership.routes);
        CHECK(read->routeDocument == image.routeDocument);
    }
}

// Guards against a process that ends for one damaged or hostile message of another one.
TEST_CASE("A damaged frame is refused")
{
    const std::string frame = compress(std::string(100'000, 'x'));
    SUBCASE("cut at any byte")
    {
        for (std::size_t size = 4; size < frame.size(); ++size)
            CHECK_FALSE(decompress(frame.substr(0, size)).has_value());
    }
    SUBCASE("one that claims more than the limit")
    {
        // magic, a single segment with an 8-byte content size, and that size
        std::string claim("\x28\xb5\x2f\xfd\xe0", 5);
        claim += std::string("\xff\xff\xff\xff\xff\xff\xff\x00", 8) + std::string(100, 'x');
        CHECK_FALSE(decompress(claim).has_value());
    }
    SUBCASE("with one byte changed it is refused or has another content, and nothing else happens")
    {
        for (std::size_t at = 0; at < frame.size(); ++at) {
            std::string damaged = frame;
            damaged[at] = static_cast<char>(damaged[at] ^ 0x55);
            const auto content = decompress(damaged);
            CHECK((!content || content->size() <= (64U << 20)));
        }
    }
}

} // namespace yuccahook::control
