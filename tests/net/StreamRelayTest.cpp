#include "net/StreamRelay.h"

#include <doctest/doctest.h>
#include <kj/async-io.h>
#include <string>

using namespace yuccahook;

namespace {

/// Two relays with a program's end of each local stream, joined as by a trunk.
struct JoinedRelays {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::TwoWayPipe left = kj::newTwoWayPipe();
    kj::TwoWayPipe right = kj::newTwoWayPipe();
    kj::Own<net::StreamRelay> leftRelay = kj::refcounted<net::StreamRelay>(kj::mv(left.ends[1]));
    kj::Own<net::StreamRelay> rightRelay = kj::refcounted<net::StreamRelay>(kj::mv(right.ends[1]));

    // The relays hold each other's ends, as two processes do through their connections.
    ~JoinedRelays()
    {
        leftRelay->reset(flow::RefusalReason::None);
        rightRelay->reset(flow::RefusalReason::None);
        cut();
        turn();
    }

    // Lets everything that is ready happen.
    void turn() { io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(io.waitScope); }

    void join()
    {
        leftRelay->attach(rightRelay->streamEnd(), rightRelay->received());
        rightRelay->attach(leftRelay->streamEnd(), leftRelay->received());
    }

    void cut()
    {
        leftRelay->detach();
        rightRelay->detach();
    }

    void write(kj::AsyncIoStream& stream, const std::string& text)
    {
        stream.write(text.data(), text.size()).wait(io.waitScope);
    }

    std::string read(kj::AsyncIoStream& stream, std::size_t count)
    {
        std::string text(count, ' ');
        text.resize(stream.tryRead(text.data(), count, count).wait(io.waitScope));
        return text;
    }
};

} // namespace

TEST_CASE("Two relays carry a stream whole, both ways")
{
    JoinedRelays relays;
    auto& caller = *relays.left.ends[0];
    auto& server = *relays.right.ends[0];
    relays.join();

    relays.write(caller, "request");
    CHECK(relays.read(server, 7) == "request");
    relays.write(server, "answer");
    CHECK(relays.read(caller, 6) == "answer");

    SUBCASE("through a trunk that is replaced in the middle")
    {
        relays.cut();
        relays.write(caller, "while cut");
        relays.join();
        CHECK(relays.read(server, 9) == "while cut");
    }

    SUBCASE("and finds at once that the other end has gone")
    {
        int lost = 0;
        relays.leftRelay->onDetached([&lost] { ++lost; });
        relays.rightRelay->detach(); // drops what the right end had of the left one
        relays.turn();
        CHECK(lost == 1);
        CHECK_FALSE(relays.leftRelay->attached());
    }

    SUBCASE("and counts the trunk as lost when a probe is not answered")
    {
        auto silent = kj::newPromiseAndFulfiller<schema::StreamEnd::Client>();
        relays.leftRelay->attach(schema::StreamEnd::Client(kj::mv(silent.promise)), relays.rightRelay->received());
        relays.leftRelay->probe(relays.io.provider->getTimer(), 1 * kj::MILLISECONDS);
        relays.io.provider->getTimer().afterDelay(50 * kj::MILLISECONDS).wait(relays.io.waitScope);
        CHECK_FALSE(relays.leftRelay->attached());
    }

    SUBCASE("each direction to its own end")
    {
        caller.shutdownWrite();
        CHECK(relays.read(server, 1).empty());
        relays.write(server, "late");
        server.shutdownWrite();
        CHECK(relays.read(caller, 5) == "late");
        relays.leftRelay->whenDone().wait(relays.io.waitScope);
        relays.rightRelay->whenDone().wait(relays.io.waitScope);
    }

    SUBCASE("and a reset of one ends the other")
    {
        relays.leftRelay->reset(flow::RefusalReason::TrunkLost);
        relays.rightRelay->whenDone().wait(relays.io.waitScope);
        CHECK(relays.rightRelay->finished());
    }

    SUBCASE("and at most the window is held for an end that does not read")
    {
        const std::string chunk(net::StreamRelay::segmentBytes, 'x');
        std::uint64_t written = 0;
        for (;;) {
            auto writing = caller.write(chunk.data(), chunk.size());
            if (!writing.poll(relays.io.waitScope))
                break;
            writing.wait(relays.io.waitScope);
            written += chunk.size();
            REQUIRE(written <= 4 * net::StreamRelay::windowBytes);
        }
        CHECK(written >= net::StreamRelay::windowBytes);
    }
}
