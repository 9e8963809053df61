#include "request/AdmissionGate.h"
#include "request/HttpFrontend.h"
#include "request/PeerOfferServer.h"
#include "request/PeerOfferTransport.h"

#include <doctest/doctest.h>
#include <kj/async-io.h>
#include <map>
#include <string>

using namespace yuccahook;
using namespace yuccahook::request;

namespace {

/// A backend server that holds each answer back until the test releases it.
class BlockingBackend final : public kj::HttpService {
public:
    BlockingBackend(kj::Timer& timer, std::string name)
        : m_name(std::move(name))
        , m_server(timer, m_headers, *this)
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
        ++received;
        auto held = kj::newPromiseAndFulfiller<void>();
        m_held[url.cStr()] = kj::mv(held.fulfiller);
        return held.promise.then([this, &response, path = std::string(url.cStr())] {
            auto body = kj::str(m_name.c_str(), path.c_str());
            auto out = response.send(200, "OK", kj::HttpHeaders(m_headers), body.size());
            auto writing = out->write(body.begin(), body.size());
            return writing.attach(kj::mv(out), kj::mv(body));
        });
    }

    void release(const std::string& path)
    {
        REQUIRE(m_held.contains(path));
        m_held.at(path)->fulfill();
        m_held.erase(path);
    }

    bool reachable = true;
    int received = 0;

private:
    const std::string m_name;
    kj::HttpHeaderTable m_headers;
    kj::HttpServer m_server;
    std::map<std::string, kj::Own<kj::PromiseFulfiller<void>>> m_held; // by path
    std::vector<kj::Promise<void>> m_serving;
};

/// Sends offers to one peer in the same process.
class LocalTransport final : public OfferTransport, private kj::TaskSet::ErrorHandler {
public:
    LocalTransport()
        : m_tasks(*this)
    {
    }

    kj::Maybe<schema::SlotPeer::Client> peer;

    kj::Promise<OfferReply> offer(std::uint32_t, const AdmissionRequest& request, SlotLoad load) override
    {
        KJ_IF_MAYBE (client, peer)
            return offerSlot(*client, 1, request, load, request.deadline - std::chrono::seconds(1), m_tasks);
        return KJ_EXCEPTION(DISCONNECTED, "unreachable");
    }

private:
    void taskFailed(kj::Exception&&) override { }

    kj::TaskSet m_tasks;
};

/// An agent's HTTP front end and gate with its backend server.
struct Agent {
    Agent(net::EventLoop& loop, const std::string& name)
        : backend(loop.timer(), name)
        , pool(loop)
        , claims(loop, pool, counters)
        , gate(loop.timer(), transport, counters, 1)
        , frontend(
              loop, claims, gate, [this] { return backend.open(); }, counters)
    {
        frontend.setService(1, {});
        gate.setSlots(1);
    }

    observe::Counters counters;
    BlockingBackend backend;
    net::TrunkPool pool;
    ClaimCoordinator claims;
    LocalTransport transport;
    AdmissionGate gate;
    HttpFrontend frontend;
};

/// A caller that opens a connection for each request.
class Caller {
public:
    Caller(kj::AsyncIoContext& io, Agent& agent)
        : m_io(io)
        , m_agent(agent)
    {
    }

    struct Answer {
        unsigned status;
        std::string body;
        std::string outcome;
        bool hasRetryAfter;
    };

    kj::Promise<Answer> get(const std::string& path)
    {
        auto pipe = kj::newTwoWayPipe();
        auto served = m_agent.frontend.serve(kj::mv(pipe.ends[1]));
        auto client = kj::newHttpClient(*m_table, *pipe.ends[0]);
        auto request
            = client->request(kj::HttpMethod::GET, path.c_str(), kj::HttpHeaders(*m_table), std::uint64_t { 0 });
        return request.response
            .then([this](kj::HttpClient::Response&& response) {
                Answer answer { response.statusCode, "", value(*response.headers, m_outcome),
                    response.headers->get(m_retryAfter) != nullptr };
                auto& body = *response.body;
                return body.readAllText().attach(kj::mv(response.body)).then([answer](kj::String text) mutable {
                    answer.body = text.cStr();
                    return answer;
                });
            })
            .attach(kj::mv(client))
            .attach(kj::mv(pipe.ends[0]))
            .attach(kj::mv(served))
            .eagerlyEvaluate(nullptr);
    }

    /// Runs the event loop until everything has happened that needs no answer of a backend server.
    void runLoop()
    {
        for (int turn = 0; turn < 20; ++turn)
            m_io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(m_io.waitScope);
    }

private:
    static std::string value(const kj::HttpHeaders& headers, kj::HttpHeaderId id)
    {
        KJ_IF_MAYBE (found, headers.get(id))
            return found->cStr();
        return "";
    }

    kj::AsyncIoContext& m_io;
    Agent& m_agent;
    kj::HttpHeaderTable::Builder m_builder;
    const kj::HttpHeaderId m_outcome = m_builder.add("Yuccahook-Outcome");
    const kj::HttpHeaderId m_retryAfter = m_builder.add("Retry-After");
    const kj::Own<kj::HttpHeaderTable> m_table = m_builder.build();
};

} // namespace

TEST_CASE("The HTTP front end dispatches no more requests than the backend server has slots")
{
    auto io = kj::setupAsyncIo();
    net::EventLoop loop(io, "test");
    Agent agent(loop, "here");
    Caller caller(io, agent);
    auto first = caller.get("/1");
    caller.runLoop();
    auto second = caller.get("/2");
    caller.runLoop();
    CHECK(agent.backend.received == 1);
    CHECK(agent.gate.load().waiting == 1);

    SUBCASE("The next request is dispatched after the answer")
    {
        agent.backend.release("/1");
        CHECK(first.wait(io.waitScope).body == "here/1");
        caller.runLoop();
        agent.backend.release("/2");
        const auto answer = second.wait(io.waitScope);
        CHECK(answer.body == "here/2");
        CHECK(answer.outcome == "answered");
    }
    SUBCASE("A caller that disconnects releases its slot or its position in the queue")
    {
        second = nullptr;
        first = nullptr;
        caller.runLoop();
        CHECK(agent.gate.load().waiting == 0);
        CHECK(agent.gate.load().running == 0);
    }
    SUBCASE("A full queue refuses requests as not run, with the reason and Retry-After")
    {
        AdmissionSettings settings;
        settings.maximumWait = std::chrono::milliseconds(1);
        agent.gate.setSettings(settings);
        const auto refused = caller.get("/3").wait(io.waitScope);
        CHECK(refused.status == 503);
        CHECK(refused.outcome == "not-run");
        CHECK(refused.body.find("queue-full") != std::string::npos);
        CHECK(refused.hasRetryAfter);
        CHECK(agent.backend.received == 1);
        CHECK(agent.counters.values().at("requests_refused_total{reason=\"queue-full\"}") == 1);
    }
    SUBCASE("A peer with a free slot runs a request that has none here")
    {
        Agent peer(loop, "there");
        agent.transport.peer = schema::SlotPeer::Client(
            kj::heap<PeerOfferServer>(loop.timer(), peer.gate, [&peer] { return peer.backend.open(); }));
        agent.gate.setPeers({ 2 });
        auto third = caller.get("/3");
        caller.runLoop();
        CHECK(agent.backend.received == 1);
        REQUIRE(peer.backend.received == 1);
        peer.backend.release("/3");
        CHECK(third.wait(io.waitScope).body == "there/3");
        caller.runLoop();
        CHECK(peer.gate.load().running == 0);
    }
}

TEST_CASE("A request runs at a peer when the backend server refuses connections")
{
    auto io = kj::setupAsyncIo();
    net::EventLoop loop(io, "test");
    Agent agent(loop, "here");
    Agent peer(loop, "there");
    Caller caller(io, agent);
    agent.backend.reachable = false;

    SUBCASE("The peer runs it when there is one")
    {
        agent.transport.peer = schema::SlotPeer::Client(
            kj::heap<PeerOfferServer>(loop.timer(), peer.gate, [&peer] { return peer.backend.open(); }));
        agent.gate.setPeers({ 2 });
        auto answer = caller.get("/1");
        caller.runLoop();
        peer.backend.release("/1");
        CHECK(answer.wait(io.waitScope).body == "there/1");
        caller.runLoop();
        CHECK(agent.counters.values().at("requests_retried_total{reason=\"retried-not-run\"}") == 1);
    }
    SUBCASE("It is refused as not run when there is no peer")
    {
        const auto refused = caller.get("/1").wait(io.waitScope);
        CHECK(refused.status == 503);
        CHECK(refused.outcome == "not-run");
        CHECK(refused.body.find("backend-unreachable") != std::string::npos);
    }
    CHECK(agent.gate.load().running == 0);
}
