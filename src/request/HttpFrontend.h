#pragma once

#include "net/EventLoopThread.h"
#include "observe/Counters.h"
#include "request/BackendConnectionPool.h"
#include "request/ClaimCoordinator.h"
#include "request/Exchange.h"
#include "request/Gate.h"
#include "request/RequestPolicy.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

namespace yuccahook::request {

/// Serves HTTP/1.1 to callers on any stream and forwards requests to the backend server.
///
/// A non-idempotent request and its answer are buffered, so that the caller gets a complete answer or none. With an
/// Idempotency-Key it is dispatched only under a claim, and continues when its caller disconnects. Answers to
/// idempotent requests are streamed; a truncated one closes the caller's connection.
///
/// Must be used on the loop's thread; all references passed to the constructor must outlive it.
class HttpFrontend final : private kj::HttpServerErrorHandler, private kj::TaskSet::ErrorHandler {
public:
    HttpFrontend(net::EventLoop& loop, ClaimCoordinator& claims, Gate& gate, BackendConnectionPool::Connector connector,
        observe::Counters& counters);

    /// Sets the service id and the policy for requests received from now on.
    void setService(std::uint32_t service, const RequestPolicy& policy);

    /// Serves one caller's stream. Destroying it closes the stream.
    class Session final : private kj::HttpService, private kj::HttpServerCallbacks {
    public:
        Session(HttpFrontend& frontend, kj::Own<kj::AsyncIoStream> stream);

        /// Ends the stream after the answer in progress.
        void drain();

    private:
        kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
            kj::AsyncInputStream& body, Response& response) override;
        bool shouldClose() override { return m_isDraining; }

        HttpFrontend& m_frontend;
        kj::Own<AbortableStream> m_unservedStream; // null once the server owns it
        AbortableStream& m_stream;
        bool m_isDraining = false;
        kj::HttpServer m_server;
        kj::Promise<void> m_serving;
        kj::Promise<void> m_draining = nullptr;
    };

    /// Serves a caller's stream until it ends or the returned object is destroyed.
    kj::Own<Session> serve(kj::Own<kj::AsyncIoStream> stream) { return kj::heap<Session>(*this, kj::mv(stream)); }

private:
    using ExchangePointer = kj::Own<Exchange>;
    using Response = kj::HttpService::Response;

    kj::Promise<void> request(ExchangePointer exchange, kj::AsyncInputStream& body, Response& response);
    kj::Promise<void> handleClientProtocolError(
        kj::HttpHeaders::ProtocolError error, kj::HttpService::Response& response) override;
    kj::Promise<void> handleApplicationError(
        kj::Exception exception, kj::Maybe<kj::HttpService::Response&> response) override;
    void taskFailed(kj::Exception&& exception) override;

    ExchangePointer receive(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers);
    kj::Promise<void> handle(ExchangePointer exchange, Response& response);
    bool checkKey(Exchange& exchange);
    kj::Promise<void> serveStreamed(Exchange& exchange, Response& response);
    kj::Promise<void> stream(Exchange& exchange, Response& response, bool fresh);
    kj::Promise<void> pumpAnswer(Exchange& exchange, kj::HttpClient::Response answer, Response& response);
    kj::Promise<void> runDetached(ExchangePointer exchange);
    kj::Promise<void> runBuffered(Exchange& exchange);
    kj::Promise<void> claim(Exchange& exchange);
    void applyDecision(Exchange& exchange, const ClaimDecision& decision);
    kj::Promise<void> admit(Exchange& exchange);
    kj::Promise<void> dispatch(Exchange& exchange);
    kj::Promise<void> readAnswer(Exchange& exchange);
    kj::Promise<kj::Own<BackendConnectionPool::Connection>> connectFor(Exchange& exchange, bool fresh);
    kj::Promise<void> retryInOtherSlot(Exchange& exchange, DispatchResult result, RequestReason reason);
    kj::Promise<void> retryStreamed(
        Exchange& exchange, Response& response, DispatchResult result, RequestReason reason);
    kj::Promise<kj::HttpClient::Response> send(Exchange& exchange);
    kj::Promise<void> reply(Exchange& exchange, Response& response);
    kj::Promise<void> replyOutcome(
        Outcome outcome, RequestReason reason, std::chrono::milliseconds retryAfter, Response& response);
    void fail(Exchange& exchange, RequestReason reason);
    void finishExchange(Exchange& exchange);
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
    BackendConnectionPool m_backendPool;
    kj::TaskSet m_running; // requests that continue after their callers disconnect
};

} // namespace yuccahook::request
