#include "net/TrunkDatagram.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace yuccahook;

TEST_CASE("A trunk datagram survives encoding and decoding")
{
    net::TrunkEncoder encoder;
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
        alignas(8) std::array<std::uint8_t, net::DatagramSocket::maximumDatagramBytes> copy {};
        const auto encoded = encoder.encode(datagram);
        std::copy(encoded.begin(), encoded.end(), copy.begin());
        const auto decoded = net::decodeTrunkDatagram({ copy.data(), encoded.size() });
        return decoded && decoded->kind == datagram.kind && decoded->hops == 2 && decoded->member == 77
            && decoded->revision == datagram.revision && decoded->key == datagram.key
            && decoded->routing == datagram.routing && decoded->returnAddress == datagram.returnAddress
            && std::equal(decoded->payload.begin(), decoded->payload.end(), payload.begin(), payload.end());
    };

    SUBCASE("any payload up to the limit survives")
    {
        CHECK(roundTrip({}));
        CHECK(roundTrip(std::vector<std::uint8_t>(net::maximumPayloadBytes, 7)));
        CHECK(
            rc::check("any payload", [&](const std::vector<std::uint8_t>& payload) { RC_ASSERT(roundTrip(payload)); }));
    }

    SUBCASE("a longer payload is not encoded")
    {
        const std::vector<std::uint8_t> payload(net::maximumPayloadBytes + 1);
        datagram.payload = payload;
        CHECK(encoder.encode(datagram).empty());
    }

    SUBCASE("decoding arbitrary bytes never crashes")
    {
        CHECK(rc::check("any bytes", [](const std::vector<std::uint64_t>& words) {
            const auto* bytes = reinterpret_cast<const std::uint8_t*>(words.data());
            net::decodeTrunkDatagram({ bytes, words.size() * sizeof(std::uint64_t) });
        }));
    }
}
