#pragma once

#include "net/EventLoopThread.h"
#include "observe/Counters.h"
#include "request/ClaimCoordinator.h"
#include "request/Exchange.h"
#include "request/Gate.h"
#include "request/RequestPolicy.h"
#include "request/Upstream.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

namespace yuccahook::request {

/// Serves HTTP/1.1 to callers on any stream and passes requests to the backend server.
///
/// A non-idempotent request and its answer are buffered, so that the answer is given whole or not at all; with an
/// Idempotency-Key it is dispatched only under a claim, and goes on when its caller leaves. Answers to idempotent
/// requests are streamed; one that breaks off breaks the caller's connection.
class HttpFrontend final : private kj::HttpServerErrorHandler, private kj::TaskSet::ErrorHandler {
public:
    HttpFrontend(net::EventLoop& loop, ClaimCoordinator& claims, Gate& gate, Upstream::Connector connector,
        observe::Counters& counters);

    void setService(std::uint32_t service, const RequestPolicy& policy);

    /// One caller's stream. Dropping it cuts the stream.
    class Session final : private kj::HttpService, private kj::HttpServerCallbacks {
    public:
        Session(HttpFrontend& front, kj::Own<kj::AsyncIoStream> stream);

        /// Ends the stream after the answer in progress.
        void drain();

    private:
        kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
            kj::AsyncInputStream& body, Response& response) override;
        bool shouldClose() override { return m_isDraining; }

        HttpFrontend& m_front;
        kj::Own<CuttableStream> m_accepted; // until it is served
        CuttableStream& m_stream;
        bool m_isDraining = false;
        kj::HttpServer m_server;
        kj::Promise<void> m_serving;
        kj::Promise<void> m_draining = nullptr;
    };

    /// Serves a caller's stream until it ends.
    kj::Own<Session> serve(kj::Own<kj::AsyncIoStream> stream) { return kj::heap<Session>(*this, kj::mv(stream)); }

private:
    using ExchangeOwn = kj::Own<Exchange>;
    using Response = kj::HttpService::Response;

    kj::Promise<void> request(ExchangeOwn exchange, kj::AsyncInputStream& body, Response& response);
    kj::Promise<void> handleClientProtocolError(
        kj::HttpHeaders::ProtocolError error, kj::HttpService::Response& response) override;
    kj::Promise<void> handleApplicationError(
        kj::Exception exception, kj::Maybe<kj::HttpService::Response&> response) override;
    void taskFailed(kj::Exception&& exception) override;

    ExchangeOwn receive(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers);
    kj::Promise<void> handle(ExchangeOwn exchange, Response& response);
    bool checkKey(Exchange& exchange);
    kj::Promise<void> serveStreamed(Exchange& exchange, Response& response);
    kj::Promise<void> stream(Exchange& exchange, Response& response, bool fresh);
    kj::Promise<void> pumpAnswer(Exchange& exchange, kj::HttpClient::Response answer, Response& response);
    kj::Promise<void> runDetached(ExchangeOwn exchange);
    kj::Promise<void> runBuffered(Exchange& exchange);
    kj::Promise<void> claim(Exchange& exchange);
    void takeDecision(Exchange& exchange, const ClaimDecision& decision);
    kj::Promise<void> admit(Exchange& exchange);
    kj::Promise<void> dispatch(Exchange& exchange);
    kj::Promise<void> takeAnswer(Exchange& exchange);
    kj::Promise<kj::Own<Upstream::Connection>> connectFor(Exchange& exchange, bool fresh);
    kj::Promise<void> takeOtherSlot(Exchange& exchange, DispatchResult result, RequestReason reason);
    kj::Promise<void> streamElsewhere(
        Exchange& exchange, Response& response, DispatchResult result, RequestReason reason);
    kj::Promise<kj::HttpClient::Response> send(Exchange& exchange);
    kj::Promise<void> reply(Exchange& exchange, Response& response);
    kj::Promise<void> replyVerdict(
        Outcome outcome, RequestReason reason, std::chrono::milliseconds retryAfter, Response& response);
    void fail(Exchange& exchange, RequestReason reason);
    void settle(Exchange& exchange);
    kj::Duration remaining(const Exchange& exchange) const;
    Time now() const;

    net::EventLoop& m_loop;
    ClaimCoordinator& m_claims;
    Gate& m_gate;
    observe::Counters& m_counters;
    RequestPolicy m_policy;
    std::uint32_t m_service = 0;
    kj::HttpHeaderTable::Builder m_builder;
    const kj::HttpHeaderId m_keyHeader;
    kj::Own<kj::HttpHeaderTable> m_headers;
    Upstream m_upstream;
    kj::TaskSet m_running; // requests that go on without their callers
};

} // namespace yuccahook::request
