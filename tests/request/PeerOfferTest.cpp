#include "request/PeerOfferServer.h"
#include "request/PeerOfferTransport.h"

#include <doctest/doctest.h>
#include <kj/compat/http.h>
#include <kj/debug.h>

using namespace yuccahook;
using namespace yuccahook::request;
using namespace std::chrono_literals;

namespace {

/// A backend server that answers each request with its path.
class EchoBackend final : public kj::HttpService {
public:
    explicit EchoBackend(kj::Timer& timer)
        : m_server(timer, m_headers, *this)
    {
    }

    kj::Promise<kj::Own<kj::AsyncIoStream>> open()
    {
        if (!reachable)
            return KJ_EXCEPTION(DISCONNECTED, "refused");
        auto pipe = kj::newTwoWayPipe();
        m_serving.push_back(m_server.listenHttp(kj::mv(pipe.ends[0])).eagerlyEvaluate([](kj::Exception&&) {}));
        return kj::mv(pipe.ends[1]);
    }

    kj::Promise<void> request(
        kj::HttpMethod, kj::StringPtr url, const kj::HttpHeaders&, kj::AsyncInputStream&, Response& response) override
    {
        auto body = kj::str("answer to ", url);
        auto out = response.send(200, "OK", kj::HttpHeaders(m_headers), body.size());
        auto writing = out->write(body.begin(), body.size());
        return writing.attach(kj::mv(out), kj::mv(body));
    }

    bool reachable = true;

private:
    kj::HttpHeaderTable m_headers;
    kj::HttpServer m_server;
    std::vector<kj::Promise<void>> m_serving;
};

class IgnoringErrorHandler final : public kj::TaskSet::ErrorHandler {
public:
    void taskFailed(kj::Exception&&) override { }
};

class UnreachableTransport final : public OfferTransport {
public:
    kj::Promise<OfferReply> offer(std::uint32_t, const AdmissionRequest&, SlotLoad) override
    {
        return KJ_EXCEPTION(DISCONNECTED, "unreachable");
    }
};

AdmissionRequest query()
{
    AdmissionRequest request;
    request.method = "GET";
    request.path = "/status";
    request.deadline = 1s;
    return request;
}

} // namespace

TEST_CASE("An agent runs a request in a slot of a peer's backend server")
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    kj::TimerImpl timer(kj::origin<kj::TimePoint>());
    EchoBackend backend(timer);
    UnreachableTransport transport;
    observe::Counters counters;
    AdmissionGate gate(timer, transport, counters, 1);
    gate.setSlots(1);
    schema::SlotPeer::Client peer = kj::heap<PeerOfferServer>(timer, gate, [&backend] { return backend.open(); });
    IgnoringErrorHandler ignored;
    kj::TaskSet tasks(ignored);
    auto taken = offerSlot(peer, 7, query(), { 3, 1, 2, 3 }, 0ns, tasks).wait(scope);
    REQUIRE(taken.slot.get() != nullptr);
    CHECK(gate.load().running == 1);

    SUBCASE("The connection of the slot leads to the peer's backend server")
    {
        auto connection = taken.slot->takeConnection();
        REQUIRE(connection.get() != nullptr);
        kj::HttpHeaderTable table;
        auto client = kj::newHttpClient(table, *connection);
        auto request = client->request(kj::HttpMethod::GET, "/status", kj::HttpHeaders(table), std::uint64_t { 0 });
        auto response = request.response.wait(scope);
        CHECK(response.statusCode == 200);
        CHECK(response.body->readAllText().wait(scope) == "answer to /status");
        taken.slot->finish(DispatchResult::Answered);
        loop.run();
        CHECK(gate.load().running == 0);
    }
    SUBCASE("A second offer is declined with the peer's load")
    {
        const auto declined = offerSlot(peer, 7, query(), {}, 0ns, tasks).wait(scope);
        CHECK(declined.slot.get() == nullptr);
        CHECK(declined.load.running == 1);
        CHECK(declined.load.slots == 1);
    }
    SUBCASE("Destroying the slot, as a lost trunk does, releases it")
    {
        taken.slot = nullptr;
        loop.run();
        CHECK(gate.load().running == 0);
    }
    SUBCASE("An offer is declined and its slot released when the backend server cannot be reached")
    {
        taken.slot = nullptr;
        loop.run();
        backend.reachable = false;
        CHECK(offerSlot(peer, 7, query(), {}, 0ns, tasks).wait(scope).slot.get() == nullptr);
        CHECK(gate.load().running == 0);
    }
}
