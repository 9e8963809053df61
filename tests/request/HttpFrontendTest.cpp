#include "request/HttpFrontend.h"

#include <doctest/doctest.h>
#include <kj/async-io.h>
#include <string>
#include <vector>

using namespace yuccahook;

namespace {

constexpr std::size_t readBytes = 64 << 10;

/// Refuses every request.
class RefusingGate final : public request::Gate {
public:
    kj::Promise<request::AdmissionResult> admit(const request::RequestInfo&) override
    {
        return request::AdmissionResult { kj::Own<request::Slot>(), request::RequestReason::QueueFull,
            std::chrono::milliseconds(1500) };
    }
};

/// An HTTP front end with one caller, whose backend server is played by the test.
struct FrontendUnderTest {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    net::EventLoop loop { io, "test" };
    observe::Counters counters;
    net::TrunkPool peers { loop };
    request::ClaimCoordinator claims { loop, peers, counters };
    request::OpenGate openGate;
    RefusingGate closedGate;
    std::vector<kj::Own<kj::AsyncIoStream>> backends; // the backend server's ends, in order of connecting
    bool unreachable = false;
    request::HttpFrontend frontend;
    kj::TwoWayPipe pipe = kj::newTwoWayPipe();
    kj::Own<request::HttpFrontend::Session> served;

    explicit FrontendUnderTest(const std::string& policy = "", bool closed = false)
        : frontend(
            loop, claims, closed ? static_cast<request::Gate&>(closedGate) : openGate, [this] { return connect(); },
            counters)
    {
        auto membership = std::make_shared<flow::Membership>();
        membership->revision = 1;
        membership->members.push_back({ 1, "agent-1", 1, 1, {}, "antigua", 100, 7, 100, flow::MemberState::Ready });
        claims.setMembership(membership, 1);
        frontend.setService(1, request::parseRequestPolicy(policy));
        served = frontend.serve(kj::mv(pipe.ends[1]));
    }

    kj::Promise<kj::Own<kj::AsyncIoStream>> connect()
    {
        if (unreachable)
            return KJ_EXCEPTION(DISCONNECTED, "refused");
        auto connection = kj::newTwoWayPipe();
        backends.push_back(kj::mv(connection.ends[0]));
        return kj::mv(connection.ends[1]);
    }

    void sendRequest(const std::string& text) { pipe.ends[0]->write(text.data(), text.size()).wait(io.waitScope); }

    /// Reads until the text contains `tail`, or until the end of the stream.
    std::string read(kj::AsyncIoStream& stream, const std::string& tail)
    {
        std::string text;
        std::vector<char> buffer(readBytes);
        while (tail.empty() || text.find(tail) == std::string::npos) {
            auto reading = stream.tryRead(buffer.data(), 1, buffer.size());
            const std::size_t count
                = io.provider->getTimer().timeoutAfter(5 * kj::SECONDS, kj::mv(reading)).wait(io.waitScope);
            if (count == 0)
                break;
            text.append(buffer.data(), count);
        }
        return text;
    }

    std::string readAnswer(const std::string& tail) { return read(*pipe.ends[0], tail); }
    std::string readRequest(std::size_t backend, const std::string& tail) { return read(*backends.at(backend), tail); }

    void awaitBackend(std::size_t count)
    {
        for (int millis = 0; backends.size() < count && millis < 5000; ++millis)
            io.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(io.waitScope);
    }

    void answer(std::size_t backend, const std::string& text)
    {
        backends.at(backend)->write(text.data(), text.size()).wait(io.waitScope);
    }

    std::uint64_t count(const std::string& name) { return counters.counter(name).load(); }
};

std::string post(const std::string& key, const std::string& body)
{
    const std::string keyHeader = key.empty() ? "" : "Idempotency-Key: " + key + "\r\n";
    return "POST /bids HTTP/1.1\r\nHost: listings\r\n" + keyHeader + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string ok(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string get = "GET /lots HTTP/1.1\r\nHost: listings\r\n\r\n";
const std::string endOfHead = "\r\n\r\n";

} // namespace

TEST_CASE("A keyed request runs once")
{
    FrontendUnderTest test;
    test.sendRequest(post("bid-1", "20 chests"));
    test.awaitBackend(1);
    CHECK(test.readRequest(0, "20 chests").starts_with("POST /bids HTTP/1.1"));

    SUBCASE("Its answer is replayed when it is submitted again")
    {
        test.answer(0, ok("accepted"));
        CHECK(test.readAnswer("accepted").find("Yuccahook-Outcome: answered") != std::string::npos);
        test.sendRequest(post("bid-1", "20 chests"));
        const auto again = test.readAnswer("accepted");
        CHECK(again.starts_with("HTTP/1.1 200 OK"));
        CHECK(again.find("Yuccahook-Outcome: repeated") != std::string::npos);
        CHECK(test.backends.size() == 1);

        SUBCASE("Another request with the same key is refused")
        {
            test.sendRequest(post("bid-1", "30 chests"));
            const auto other = test.readAnswer("key-reused");
            CHECK(other.starts_with("HTTP/1.1 422"));
            CHECK(other.find("Yuccahook-Outcome: not-run") != std::string::npos);
            CHECK(test.backends.size() == 1);
        }
    }

    SUBCASE("It is unknown when the backend server disconnects before the answer")
    {
        test.backends[0] = nullptr;
        CHECK(test.readAnswer("backend-lost").starts_with("HTTP/1.1 502"));
        test.sendRequest(post("bid-1", "20 chests"));
        const auto again = test.readAnswer("earlier-run-unknown");
        CHECK(again.starts_with("HTTP/1.1 409"));
        CHECK(again.find("Yuccahook-Outcome: unknown") != std::string::npos);
        CHECK(test.backends.size() == 1);
    }

    SUBCASE("It is unknown when its answer is truncated, and no part of the answer is forwarded")
    {
        test.answer(0, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\naccep");
        test.backends[0] = nullptr;
        const auto answer = test.readAnswer("answer-truncated");
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(answer.find("accep") == std::string::npos);
    }

    SUBCASE("It is unknown when the end of its answer cannot be distinguished from a lost connection")
    {
        test.answer(0, "HTTP/1.1 200 OK\r\n\r\naccepted");
        CHECK(test.readAnswer("answer-truncated").starts_with("HTTP/1.1 502"));
    }

    SUBCASE("It continues when its caller disconnects")
    {
        test.pipe.ends[0] = nullptr;
        test.answer(0, ok("accepted"));
        auto second = kj::newTwoWayPipe();
        const auto served = test.frontend.serve(kj::mv(second.ends[1]));
        test.pipe.ends[0] = kj::mv(second.ends[0]);
        test.sendRequest(post("bid-1", "20 chests"));
        const auto again = test.readAnswer("\r\n\r\n");
        CHECK(test.backends.size() == 1);
        CHECK(again.find("Yuccahook-Outcome: repeated") != std::string::npos);
        test.pipe.ends[0] = nullptr;
    }
}

TEST_CASE("A request that is never dispatched is refused as not run")
{
    SUBCASE("It is refused when the backend server cannot be reached, and runs when it is submitted again")
    {
        FrontendUnderTest test;
        test.unreachable = true;
        test.sendRequest(post("bid-1", "20 chests"));
        const auto refused = test.readAnswer("backend-unreachable");
        CHECK(refused.starts_with("HTTP/1.1 503"));
        CHECK(refused.find("Yuccahook-Outcome: not-run") != std::string::npos);
        test.unreachable = false;
        test.sendRequest(post("bid-1", "20 chests"));
        test.awaitBackend(1);
        test.readRequest(0, "20 chests");
        test.answer(0, ok("accepted"));
        CHECK(test.readAnswer("accepted").starts_with("HTTP/1.1 200"));
    }

    SUBCASE("It is refused when there is no slot for it")
    {
        FrontendUnderTest test("", true);
        test.sendRequest(post("bid-1", "20 chests"));
        const auto refused = test.readAnswer("queue-full");
        CHECK(refused.find("Yuccahook-Outcome: not-run") != std::string::npos);
        CHECK(refused.find("Retry-After: 2") != std::string::npos);
        CHECK(test.backends.empty());
    }

    SUBCASE("It is refused when its body is too large")
    {
        FrontendUnderTest test(R"({"maximumBodyBytes":10})");
        test.sendRequest(post("bid-1", "more than ten bytes"));
        CHECK(test.readAnswer("body-too-large").starts_with("HTTP/1.1 413"));
        CHECK(test.backends.empty());
    }

    SUBCASE("It is refused when the service requires a key and the key is missing or malformed")
    {
        FrontendUnderTest test(R"({"keyRequired":true})");
        test.sendRequest(post("", "20 chests"));
        CHECK(test.readAnswer("key-required").starts_with("HTTP/1.1 428"));
        test.sendRequest(post("two, keys", "20 chests"));
        CHECK(test.readAnswer("key-malformed").starts_with("HTTP/1.1 400"));
        CHECK(test.backends.empty());
    }

    SUBCASE("It is refused when it is not HTTP")
    {
        FrontendUnderTest test;
        test.sendRequest("20 chests, please\r\n\r\n");
        const auto refused = test.readAnswer("malformed");
        CHECK(refused.starts_with("HTTP/1.1 400"));
        CHECK(refused.find("Yuccahook-Outcome: not-run") != std::string::npos);
    }
}

TEST_CASE("A non-idempotent request is unknown when its answer is too large or too late")
{
    SUBCASE("The answer is too large")
    {
        FrontendUnderTest test(R"({"maximumAnswerBytes":10})");
        test.sendRequest(post("", "20 chests"));
        test.awaitBackend(1);
        test.answer(0, ok("more than ten bytes"));
        CHECK(test.readAnswer("answer-too-large").starts_with("HTTP/1.1 502"));
    }

    SUBCASE("The answer is too late, and the connection to the backend server is closed")
    {
        FrontendUnderTest test(R"({"deadlineMillis":20})");
        test.sendRequest(post("", "20 chests"));
        CHECK(test.readAnswer("deadline-passed").starts_with("HTTP/1.1 504"));
        REQUIRE(test.backends.size() == 1);
        test.readRequest(0, ""); // returns because the connection is closed
    }
}

TEST_CASE("Answers to idempotent requests are streamed")
{
    FrontendUnderTest test;

    SUBCASE("Pipelined requests get their own answers over one reused backend connection")
    {
        test.sendRequest(get + get);
        test.awaitBackend(1);
        for (const std::string body : { "first lot", "second lot" }) {
            CHECK(test.readRequest(0, endOfHead).starts_with("GET /lots"));
            test.answer(0, ok(body));
            CHECK(test.readAnswer(body).find("Yuccahook-Outcome: answered") != std::string::npos);
        }
        CHECK(test.backends.size() == 1);
    }

    SUBCASE("Hop-by-hop headers are not forwarded")
    {
        test.sendRequest("GET /lots HTTP/1.1\r\nHost: listings\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n");
        test.awaitBackend(1);
        const auto request = test.readRequest(0, endOfHead);
        CHECK(request.find("X-Hop") == std::string::npos);
        CHECK(request.find("X-End: 2") != std::string::npos);
        test.answer(
            0, "HTTP/1.1 200 OK\r\nYuccahook-Outcome: not-run\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
        const auto answer = test.readAnswer("ok");
        CHECK(answer.find("Keep-Alive") == std::string::npos);
        CHECK(answer.find("not-run") == std::string::npos);
    }

    SUBCASE("A truncated answer closes the caller's connection")
    {
        test.sendRequest(get);
        test.awaitBackend(1);
        test.answer(0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
        test.readAnswer("first");
        test.backends[0] = nullptr;
        CHECK(test.readAnswer("").find("0\r\n\r\n") == std::string::npos); // ends without the last chunk
        CHECK(test.count("caller_connections_broken_total") == 1);
    }

    SUBCASE("A request is sent again when a reused connection turns out to be closed")
    {
        test.sendRequest(get);
        test.awaitBackend(1);
        test.readRequest(0, endOfHead);
        test.answer(0, ok("first"));
        test.readAnswer("first");
        test.backends[0] = nullptr;
        test.sendRequest(get);
        test.awaitBackend(2);
        test.readRequest(1, endOfHead);
        test.answer(1, ok("second"));
        CHECK(test.readAnswer("second").starts_with("HTTP/1.1 200"));
    }

    SUBCASE("A drain closes the connection after the answer in progress")
    {
        test.sendRequest(get);
        test.awaitBackend(1);
        test.readRequest(0, endOfHead);
        test.served->drain();
        test.answer(0, ok("last"));
        const auto answer = test.readAnswer("");
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(answer.ends_with("last"));
    }
}
