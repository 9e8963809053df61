#include "flow/OpeningQueue.h"

#include <doctest/doctest.h>

using namespace yuccahook::flow;

namespace {

PacketFlow flowOf(std::uint16_t port) { return { { 1, port }, { 2, 443 } }; }

WaitingOpening openingOf(std::uint16_t port, std::uint8_t priority, std::uint64_t since)
{
    return { flowOf(port), priority, since, since + 200, since + 600, false, {} };
}

} // namespace

TEST_CASE("An opening queue orders the packets that wait for a slot")
{
    OpeningQueue queue;
    REQUIRE(queue.add(openingOf(1, 2, 1000)));
    REQUIRE(queue.add(openingOf(2, 1, 1010)));
    REQUIRE(queue.add(openingOf(3, 2, 1250)));
    CHECK(queue.contains(flowOf(2)));
    CHECK(queue.countAhead(openingOf(4, 1, 1260), 1100) == 1);
    CHECK(queue.countAhead(openingOf(4, 2, 1260), 1100) == 3);
    CHECK(queue.countAhead(openingOf(4, 2, 1260), 1300) == 1); // two would miss their goal

    SUBCASE("packets that can meet their goal are served by priority, then by age")
    {
        CHECK(queue.popNext(1100)->flow == flowOf(2));
        CHECK(queue.popNext(1100)->flow == flowOf(1));
        CHECK(queue.popNext(1100)->flow == flowOf(3));
        CHECK_FALSE(queue.popNext(1100));
    }

    SUBCASE("packets that can meet their goal are served before late ones")
    {
        CHECK(queue.popNext(1300)->flow == flowOf(3));
        CHECK(queue.popNext(1300)->flow == flowOf(2));
        CHECK(queue.popNext(1300)->flow == flowOf(1));
    }

    SUBCASE("packets leave the queue when their wait ends")
    {
        const auto ended = queue.popExpired(1610);
        REQUIRE(ended.size() == 2);
        CHECK(ended[0].flow == flowOf(1));
        CHECK(ended[1].flow == flowOf(2));
        CHECK(queue.size() == 1);
        CHECK(queue.popAll().size() == 1);
        CHECK(queue.size() == 0);
    }

    SUBCASE("the number of packets is limited")
    {
        while (queue.size() < OpeningQueue::maximumPackets)
            REQUIRE(queue.add(openingOf(static_cast<std::uint16_t>(queue.size() + 1), 2, 1300)));
        CHECK_FALSE(queue.add(openingOf(9999, 2, 1300)));
    }
}
