#include "platform/PacketFormat.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace yuccahook;

namespace {

const std::vector<std::uint8_t> opening { 0xa1, 0xb2, 0xc3, 0xd5, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x64,
    0x40, 0x00, 0x07, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00 };

} // namespace

TEST_CASE("Packets are decoded and resets are encoded as in the platform's example")
{
    const platform::PacketFormat format;
    const auto header = format.decode(opening);
    REQUIRE(header);

    SUBCASE("an opening packet contains its flow and its retransmission count")
    {
        CHECK(header->source.address().text() == "100.64.0.7:40001");
        CHECK(header->destination.address().text() == "198.18.0.1:443");
        CHECK(header->opens);
        CHECK_FALSE(header->acknowledges);
        CHECK(header->sequence == 0x11223344);
        CHECK(header->retransmissions == 0);
        auto second = opening;
        second[31] = 1;
        CHECK(format.decode(second)->retransmissions == 1);
    }

    SUBCASE("a reset that yuccahook sends has no checksum")
    {
        const auto reset = format.reset(header->flowFromCaller(), 0);
        const std::vector<std::uint8_t> expected { 0x00, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x01,
            0xbb, 0xc6, 0x12, 0x00, 0x01, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
            0x00, 0x00, 0x00 };
        CHECK(std::vector(reset.begin(), reset.end()) == expected);
    }

    SUBCASE("a bounced packet is restored to the packet that its sender sent")
    {
        auto bounced = opening;
        bounced[18] |= 0x80;
        bounced[19] = 7;
        bounced[20] = 9;
        CHECK(format.decode(bounced)->bounced);
        format.restore(bounced);
        CHECK(bounced == opening);
    }

    SUBCASE("a packet whose length field differs from the datagram is refused")
    {
        auto longer = opening;
        longer.push_back(0);
        CHECK_FALSE(format.decode(longer));
        longer[17] = 1;
        CHECK(format.decode(longer)->dataBytes == 1);
        CHECK_FALSE(format.decode(std::vector<std::uint8_t>(opening.begin(), opening.end() - 1)));
        CHECK_FALSE(format.decode(std::vector<std::uint8_t>(2000)));
    }

    SUBCASE("decoding arbitrary bytes never crashes")
    {
        rc::check("any bytes", [&format](const std::vector<std::uint8_t>& bytes) {
            const auto decoded = format.decode(bytes);
            RC_ASSERT(!decoded || bytes.size() == 32 + decoded->dataBytes);
        });
    }
}
