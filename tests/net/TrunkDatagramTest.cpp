#include "net/TrunkDatagram.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccahook;

TEST_CASE("A trunk datagram is read as it was written")
{
    net::TrunkEncoder buffer;
    net::TrunkDatagram datagram;
    datagram.kind = net::DatagramKind::Reply;
    datagram.hops = 2;
    datagram.member = 77;
    datagram.revision = 1ULL << 40;
    datagram.key = { *net::Address::parse("[fd00::1]:5000"), 9 };
    datagram.routing = { flow::RoutingKind::Placed, 1ULL << 41, 5ULL << 32, 12 };
    datagram.returnAddress = *net::Address::parse("10.1.2.3:4");

    const auto roundTrip = [&](const std::vector<std::uint8_t>& payload) {
        datagram.payload = payload;
        alignas(8) std::array<std::uint8_t, net::DatagramSocket::maximumDatagramBytes> wire {};
        const auto encoded = buffer.encode(datagram);
        std::copy(encoded.begin(), encoded.end(), wire.begin());
        const auto decoded = net::decodeTrunkDatagram({ wire.data(), encoded.size() });
        return decoded && decoded->kind == datagram.kind && decoded->hops == 2 && decoded->member == 77
            && decoded->revision == datagram.revision && decoded->key == datagram.key
            && decoded->routing == datagram.routing && decoded->returnAddress == datagram.returnAddress
            && std::equal(decoded->payload.begin(), decoded->payload.end(), payload.begin(), payload.end());
    };

    SUBCASE("with any payload up to the limit")
    {
        CHECK(roundTrip({}));
        CHECK(roundTrip(std::vector<std::uint8_t>(net::maximumPayloadBytes, 7)));
        CHECK(
            rc::check("any payload", [&](const std::vector<std::uint8_t>& payload) { RC_ASSERT(roundTrip(payload)); }));
    }

    SUBCASE("and a longer payload is not encoded")
    {
        const std::vector<std::uint8_t> payload(net::maximumPayloadBytes + 1);
        datagram.payload = payload;
        CHECK(buffer.encode(datagram).empty());
    }

    SUBCASE("and any other bytes are refused or read, never a crash")
    {
        CHECK(rc::check("any bytes", [](const std::vector<std::uint64_t>& words) {
            const auto* bytes = reinterpret_cast<const std::uint8_t*>(words.data());
            net::decodeTrunkDatagram({ bytes, words.size() * sizeof(std::uint64_t) });
        }));
    }
}
