#include "net/MeteredStream.h"

#include <array>
#include <doctest/doctest.h>
#include <kj/timer.h>

using yuccahook::net::MeteredStream;

// Guards against subscribers that never get a state which their link takes longer to carry than the time limit of the
// call: each attempt was given up while bytes arrived, and the next one began anew.
TEST_CASE("A reply is awaited as long as parts of it arrive")
{
    constexpr std::size_t parts = 10;
    constexpr std::size_t partBytes = 100;
    const auto limit = 1200 * kj::MILLISECONDS;
    kj::EventLoop loop;
    kj::WaitScope waitScope(loop);
    kj::TimePoint now = kj::origin<kj::TimePoint>();
    kj::TimerImpl timer(now);
    auto pipe = kj::newTwoWayPipe();
    MeteredStream stream(kj::mv(pipe.ends[0]), timer);
    std::array<char, parts * partBytes> buffer {};
    const std::array<char, partBytes> part {};
    const auto advance = [&](kj::Duration duration) {
        now = now + duration;
        timer.advanceTo(now);
        waitScope.poll();
    };
    stream.restart();
    auto reply = stream.whileReceiving(stream.tryRead(buffer.data(), buffer.size(), buffer.size()), limit);
    const auto receiveParts = [&](std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            advance(500 * kj::MILLISECONDS);
            REQUIRE_FALSE(reply.poll(waitScope));
            pipe.ends[1]->write(part.data(), part.size()).wait(waitScope);
            waitScope.poll();
        }
    };

    SUBCASE("it is complete after four times the limit")
    {
        receiveParts(parts);
        REQUIRE(reply.poll(waitScope));
        CHECK(reply.wait(waitScope) == buffer.size());
        CHECK(stream.receivedBytes() == buffer.size());
        CHECK(stream.transferMillis() == 500 * (parts - 1));
    }

    SUBCASE("its sender falls silent halfway: given up after the limit")
    {
        receiveParts(parts / 2);
        advance(limit - 1 * kj::MILLISECONDS);
        CHECK_FALSE(reply.poll(waitScope));
        advance(1 * kj::MILLISECONDS);
        REQUIRE(reply.poll(waitScope));
        CHECK_THROWS(reply.wait(waitScope));
    }

    SUBCASE("nothing arrives: given up after the limit")
    {
        advance(limit - 1 * kj::MILLISECONDS);
        CHECK_FALSE(reply.poll(waitScope));
        advance(1 * kj::MILLISECONDS);
        REQUIRE(reply.poll(waitScope));
        CHECK_THROWS(reply.wait(waitScope));
    }
}
