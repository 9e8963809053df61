#include "net/StreamRelay.h"

#include <doctest/doctest.h>
#include <kj/async-io.h>
#include <string>

using namespace yuccahook;

namespace {

/// Two relays that can be connected as by a trunk, and the outer ends of their local streams.
struct RelayPair {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::TwoWayPipe left = kj::newTwoWayPipe();
    kj::TwoWayPipe right = kj::newTwoWayPipe();
    kj::Own<net::StreamRelay> leftRelay = kj::refcounted<net::StreamRelay>(kj::mv(left.ends[1]));
    kj::Own<net::StreamRelay> rightRelay = kj::refcounted<net::StreamRelay>(kj::mv(right.ends[1]));

    // The relays hold references to each other, as two processes do through their connection; these must be released.
    ~RelayPair()
    {
        leftRelay->reset(flow::RefusalReason::None);
        rightRelay->reset(flow::RefusalReason::None);
        disconnect();
        runLoop();
    }

    // Runs the event loop until nothing is ready.
    void runLoop() { io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(io.waitScope); }

    void connect()
    {
        leftRelay->attach(rightRelay->streamEnd(), rightRelay->received());
        rightRelay->attach(leftRelay->streamEnd(), leftRelay->received());
    }

    void disconnect()
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

TEST_CASE("Two relays transfer a stream completely in both directions")
{
    RelayPair relays;
    auto& caller = *relays.left.ends[0];
    auto& server = *relays.right.ends[0];
    relays.connect();

    relays.write(caller, "request");
    CHECK(relays.read(server, 7) == "request");
    relays.write(server, "answer");
    CHECK(relays.read(caller, 6) == "answer");

    SUBCASE("bytes written without a trunk arrive once it is replaced")
    {
        relays.disconnect();
        relays.write(caller, "while cut");
        relays.connect();
        CHECK(relays.read(server, 9) == "while cut");
    }

    SUBCASE("a relay detects at once that the other end was released")
    {
        int lost = 0;
        relays.leftRelay->onTrunkLost([&lost] { ++lost; });
        relays.rightRelay->detach(); // releases the right relay's reference to the left one
        relays.runLoop();
        CHECK(lost == 1);
        CHECK_FALSE(relays.leftRelay->attached());
    }

    SUBCASE("an unacknowledged probe means that the trunk is lost")
    {
        auto silent = kj::newPromiseAndFulfiller<schema::StreamEnd::Client>();
        relays.leftRelay->attach(schema::StreamEnd::Client(kj::mv(silent.promise)), relays.rightRelay->received());
        relays.leftRelay->probe(relays.io.provider->getTimer(), 1 * kj::MILLISECONDS);
        relays.io.provider->getTimer().afterDelay(50 * kj::MILLISECONDS).wait(relays.io.waitScope);
        CHECK_FALSE(relays.leftRelay->attached());
    }

    SUBCASE("each direction ends independently")
    {
        caller.shutdownWrite();
        CHECK(relays.read(server, 1).empty());
        relays.write(server, "late");
        server.shutdownWrite();
        CHECK(relays.read(caller, 5) == "late");
        relays.leftRelay->whenDone().wait(relays.io.waitScope);
        relays.rightRelay->whenDone().wait(relays.io.waitScope);
    }

    SUBCASE("a reset of one relay ends the other")
    {
        relays.leftRelay->reset(flow::RefusalReason::TrunkLost);
        relays.rightRelay->whenDone().wait(relays.io.waitScope);
        CHECK(relays.rightRelay->finished());
    }

    SUBCASE("a relay buffers at most its window for an end that does not read")
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
