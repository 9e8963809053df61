#include "net/Address.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccahook;

TEST_CASE("An address is parsed and formatted in one format")
{
    SUBCASE("IPv4 and IPv6 addresses survive a round trip")
    {
        for (const auto* text : { "10.0.0.1:80", "127.0.0.1:65535", "[::1]:1", "[fd00::a:b]:8080" })
            CHECK(net::Address::parse(text)->text() == text);
    }

    SUBCASE("malformed text is not an address")
    {
        for (const auto* text : { "", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8x", "host:80", "::1:80",
                 "[10.0.0.1]:80", "10.0.0:80", ":80", "10.0.0.1:" })
            CHECK_FALSE(net::Address::parse(text));
    }

    SUBCASE("any address survives a round trip through a socket address")
    {
        CHECK(rc::check("any address", [](std::uint64_t high, std::uint64_t low, std::uint16_t port) {
            const net::Address address { high, low, port };
            sockaddr_storage socket {};
            address.toSocket(socket);
            RC_ASSERT(net::Address::fromSocket(socket) == address);
        }));
    }
}
