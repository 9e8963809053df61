#include "request/HttpFrontend.h"

#include "request/BodyReader.h"
#include "request/OutcomeResponse.h"

#include <algorithm>
#include <kj/debug.h>

namespace yuccahook::request {

namespace {

constexpr std::size_t maximumKeyCharacters = 128;
constexpr kj::StringPtr outcomeHeader = "Yuccahook-Outcome"_kj;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;
constexpr unsigned overloaded = 503;

// Accepts visible ASCII except the comma, which joins repeated headers.
bool isKey(const std::string& key)
{
    return !key.empty() && key.size() <= maximumKeyCharacters && std::all_of(key.begin(), key.end(), [](char letter) {
        return letter > ' ' && letter <= '~' && letter != ',';
    });
}

bool hasNoBody(kj::HttpMethod method, unsigned status)
{
    return method == kj::HttpMethod::HEAD || status == noContent || status == notModified;
}

// Whether the end of the answer can be distinguished from a lost connection.
bool hasFraming(kj::HttpMethod method, const kj::HttpClient::Response& answer)
{
    return hasNoBody(method, answer.statusCode) || answer.headers->get(kj::HttpHeaderId::CONTENT_LENGTH) != nullptr
        || answer.headers->get(kj::HttpHeaderId::TRANSFER_ENCODING) != nullptr;
}

bool closesConnection(const kj::HttpHeaders& headers)
{
    KJ_IF_MAYBE (connection, headers.get(kj::HttpHeaderId::CONNECTION))
        return kj::StringPtr(*connection) != "keep-alive"_kj;
    return false;
}

bool isTimeout(const kj::Exception& exception) { return exception.getType() == kj::Exception::Type::OVERLOADED; }

// An idle connection between two requests is an established flow, so it must survive silent trunks and slow polling.
constexpr auto keepAliveTimeout = 300 * kj::SECONDS;
constexpr auto headerTimeout = 60 * kj::SECONDS;

kj::HttpServerSettings serverSettings(kj::HttpServerErrorHandler& errors, kj::HttpServerCallbacks& callbacks)
{
    kj::HttpServerSettings settings;
    settings.headerTimeout = headerTimeout;
    settings.pipelineTimeout = keepAliveTimeout;
    settings.errorHandler = errors;
    settings.callbacks = callbacks;
    return settings;
}

} // namespace

HttpFrontend::HttpFrontend(net::EventLoop& loop, ClaimCoordinator& claims, Gate& gate,
    BackendConnectionPool::Connector connector, observe::Counters& counters)
    : m_loop(loop)
    , m_claims(claims)
    , m_gate(gate)
    , m_counters(counters)
    , m_keyHeader(m_builder.add("Idempotency-Key"))
    , m_headers(m_builder.build())
    , m_backendPool(loop.timer(), *m_headers, kj::mv(connector))
    , m_running(*this)
{
}

HttpFrontend::Session::Session(HttpFrontend& frontend, kj::Own<kj::AsyncIoStream> stream)
    : m_frontend(frontend)
    , m_unservedStream(kj::heap<AbortableStream>(kj::mv(stream)))
    , m_stream(*m_unservedStream)
    , m_server(frontend.m_loop.timer(), *frontend.m_headers, *this, serverSettings(frontend, *this))
    , m_serving(m_server.listenHttp(kj::mv(m_unservedStream)).eagerlyEvaluate([](kj::Exception&&) {}))
{
}

kj::Promise<void> HttpFrontend::Session::request(kj::HttpMethod method, kj::StringPtr url,
    const kj::HttpHeaders& headers, kj::AsyncInputStream& body, Response& response)
{
    auto exchange = m_frontend.receive(method, url, headers);
    exchange->caller = &m_stream;
    return m_frontend.request(kj::mv(exchange), body, response);
}

void HttpFrontend::Session::drain()
{
    m_isDraining = true;
    m_draining = m_server.drain().eagerlyEvaluate([](kj::Exception&&) {});
}

void HttpFrontend::setService(std::uint32_t service, const RequestPolicy& policy)
{
    m_service = service;
    m_policy = policy;
}

Time HttpFrontend::now() const
{
    return std::chrono::nanoseconds((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
}

kj::Duration HttpFrontend::remaining(const Exchange& exchange) const
{
    return std::max<std::int64_t>((exchange.deadline() - now()).count(), 0) * kj::NANOSECONDS;
}

HttpFrontend::ExchangePointer HttpFrontend::receive(
    kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers)
{
    auto exchange = kj::refcounted<Exchange>();
    exchange->method = method;
    exchange->url = url.cStr();
    exchange->headers = endToEndHeaders(headers);
    exchange->policy = m_policy;
    exchange->arrived = now();
    exchange->idempotent = m_policy.isIdempotent(kj::str(method).cStr());
    KJ_IF_MAYBE (key, headers.get(m_keyHeader))
        exchange->key = key->cStr();
    m_counters.counter("requests_received_total") += 1;
    return exchange;
}

kj::Promise<void> HttpFrontend::request(ExchangePointer exchange, kj::AsyncInputStream& body, Response& response)
{
    auto& received = *exchange;
    auto reading = readBounded(body, received.policy.maximumBodyBytes, received.body);
    return reading.then([this, &response, exchange = kj::mv(exchange)](bool whole) mutable {
        if (!whole)
            fail(*exchange, RequestReason::BodyTooLarge);
        return handle(kj::mv(exchange), response);
    });
}

kj::Promise<void> HttpFrontend::handle(ExchangePointer exchange, Response& response)
{
    Exchange& handled = *exchange;
    if (handled.machine.ended() || !checkKey(handled))
        return reply(handled, response).attach(kj::mv(exchange));
    const bool claims = !handled.idempotent && handled.key;
    if (claims)
        return runDetached(kj::addRef(handled))
            .then([this, &handled, &response] { return reply(handled, response); })
            .attach(kj::mv(exchange));
    auto serving = handled.idempotent
        ? serveStreamed(handled, response)
        : runBuffered(handled).then([this, &handled, &response] { return reply(handled, response); });
    return serving.attach(kj::defer([this, exchange = kj::mv(exchange)]() mutable {
        if (exchange->machine.cancel())
            finishExchange(*exchange);
    }));
}

bool HttpFrontend::checkKey(Exchange& exchange)
{
    if (exchange.idempotent)
        return true;
    if (!exchange.key && exchange.policy.keyRequired)
        fail(exchange, RequestReason::KeyRequired);
    else if (exchange.key && !isKey(*exchange.key))
        fail(exchange, RequestReason::KeyMalformed);
    return !exchange.machine.ended();
}

// Continues when the caller disconnects, so that a caller that submits the request again gets the answer.
kj::Promise<void> HttpFrontend::runDetached(ExchangePointer exchange)
{
    auto& running = *exchange;
    auto forked = runBuffered(running).attach(kj::mv(exchange)).fork();
    m_running.add(forked.addBranch());
    return forked.addBranch();
}

kj::Promise<void> HttpFrontend::runBuffered(Exchange& exchange)
{
    auto claimed = exchange.key ? claim(exchange) : kj::Promise<void>(kj::READY_NOW);
    return claimed.then([this, &exchange] { return admit(exchange); })
        .then([this, &exchange] { return dispatch(exchange); })
        .catch_([this, &exchange](kj::Exception&&) { fail(exchange, RequestReason::BackendLost); });
}

kj::Promise<void> HttpFrontend::claim(Exchange& exchange)
{
    const auto digest = digestOf(kj::str(exchange.method).cStr(), exchange.url, exchange.body);
    return m_claims.acquire(*exchange.key, digest).then([this, &exchange](const ClaimDecision& decision) {
        applyDecision(exchange, decision);
    });
}

void HttpFrontend::applyDecision(Exchange& exchange, const ClaimDecision& decision)
{
    switch (decision.kind) {
    case ClaimDecision::Kind::Granted:
        exchange.attempt = decision.attempt;
        exchange.claimed = true;
        return;
    case ClaimDecision::Kind::Repeated:
        exchange.answer = decision.answer;
        exchange.machine.repeat();
        break;
    case ClaimDecision::Kind::Unknown:
        exchange.machine.failUnknown(decision.reason);
        break;
    case ClaimDecision::Kind::Refused:
        exchange.machine.fail(decision.reason);
        break;
    }
    finishExchange(exchange);
}

kj::Promise<void> HttpFrontend::admit(Exchange& exchange)
{
    if (exchange.machine.ended())
        return kj::READY_NOW;
    exchange.machine.queue();
    const RequestInfo info { kj::str(exchange.method).cStr(), exchange.url, m_service, exchange.idempotent,
        exchange.arrived, exchange.deadline(), exchange.body.size() };
    return m_loop.timer()
        .timeoutAfter(remaining(exchange), m_gate.admit(info))
        .then(
            [this, &exchange](AdmissionResult&& admission) {
                exchange.retryAfter = admission.retryAfter;
                if (admission.slot.get())
                    exchange.slot = kj::mv(admission.slot);
                else
                    fail(exchange, admission.reason);
            },
            [this, &exchange](kj::Exception&&) { fail(exchange, RequestReason::DeadlineInQueue); });
}

kj::Promise<void> HttpFrontend::dispatch(Exchange& exchange)
{
    if (exchange.machine.ended())
        return kj::READY_NOW;
    return connectFor(exchange, true)
        .then(
            [this, &exchange](kj::Own<BackendConnectionPool::Connection> connection) -> kj::Promise<void> {
                exchange.connection = kj::mv(connection);
                return m_loop.timer()
                    .timeoutAfter(remaining(exchange), kj::evalNow([&] { return readAnswer(exchange); }))
                    .catch_([this, &exchange](kj::Exception&& exception) {
                        const auto broken
                            = exchange.answerBegan ? RequestReason::AnswerTruncated : RequestReason::BackendLost;
                        fail(exchange, isTimeout(exception) ? RequestReason::DeadlinePassed : broken);
                    });
            },
            [this, &exchange](kj::Exception&&) {
                return retryInOtherSlot(exchange, DispatchResult::Shed, RequestReason::BackendUnreachable)
                    .then([this, &exchange] { return dispatch(exchange); });
            });
}

kj::Promise<kj::Own<BackendConnectionPool::Connection>> HttpFrontend::connectFor(Exchange& exchange, bool fresh)
{
    auto stream = exchange.slot->takeConnection();
    if (stream.get())
        return m_backendPool.adopt(kj::mv(stream));
    return m_backendPool.connect(fresh);
}

// Requests another slot for a failed attempt; ends the request for `reason` when there is none.
kj::Promise<void> HttpFrontend::retryInOtherSlot(Exchange& exchange, DispatchResult result, RequestReason reason)
{
    exchange.connection = nullptr;
    return m_loop.timer()
        .timeoutAfter(remaining(exchange), exchange.slot->retry(result))
        .then(
            [this, &exchange, reason](AdmissionResult&& admission) {
                exchange.slot = kj::mv(admission.slot);
                exchange.retryAfter = admission.retryAfter;
                if (!exchange.slot.get())
                    fail(exchange, reason);
            },
            [this, &exchange, reason](kj::Exception&&) { fail(exchange, reason); });
}

kj::Promise<void> HttpFrontend::retryStreamed(
    Exchange& exchange, Response& response, DispatchResult result, RequestReason reason)
{
    return retryInOtherSlot(exchange, result, reason).then([this, &exchange, &response]() -> kj::Promise<void> {
        return exchange.machine.ended() ? reply(exchange, response) : stream(exchange, response, true);
    });
}

// After this call the backend server may have run the request.
kj::Promise<kj::HttpClient::Response> HttpFrontend::send(Exchange& exchange)
{
    exchange.machine.dispatch();
    m_counters.counter("requests_dispatched_total") += 1;
    kj::HttpHeaders headers(*m_headers);
    addHeaders(headers, exchange.headers);
    auto request = exchange.connection->client->request(
        exchange.method, exchange.url.c_str(), headers, std::uint64_t { exchange.body.size() });
    auto upload = exchange.body.empty() ? kj::Promise<void>(kj::READY_NOW)
                                        : request.body->write(exchange.body.data(), exchange.body.size());
    auto uploading = upload.attach(kj::mv(request.body)).eagerlyEvaluate([](kj::Exception&&) {});
    return request.response.attach(kj::mv(uploading));
}

kj::Promise<void> HttpFrontend::readAnswer(Exchange& exchange)
{
    return send(exchange).then([this, &exchange](kj::HttpClient::Response&& answer) -> kj::Promise<void> {
        exchange.answerBegan = true;
        exchange.shed = answer.statusCode == overloaded;
        if (!hasFraming(exchange.method, answer)) {
            fail(exchange, RequestReason::AnswerTruncated);
            return kj::READY_NOW;
        }
        auto recorded = std::make_shared<RecordedAnswer>();
        recorded->status = answer.statusCode;
        recorded->statusText = answer.statusText.cStr();
        recorded->headers = endToEndHeaders(*answer.headers);
        const bool closes = closesConnection(*answer.headers);
        auto& input = *answer.body;
        return readBounded(input, exchange.policy.maximumAnswerBytes, recorded->body)
            .then([this, &exchange, recorded, closes, body = kj::mv(answer.body)](bool whole) mutable {
                body = nullptr;
                if (!whole)
                    return fail(exchange, RequestReason::AnswerTooLarge);
                exchange.answer = recorded;
                exchange.machine.answer();
                if (!closes)
                    m_backendPool.release(kj::mv(exchange.connection));
                finishExchange(exchange);
            });
    });
}

kj::Promise<void> HttpFrontend::serveStreamed(Exchange& exchange, Response& response)
{
    return admit(exchange).then([this, &exchange, &response]() -> kj::Promise<void> {
        return exchange.machine.ended() ? reply(exchange, response) : stream(exchange, response, false);
    });
}

kj::Promise<void> HttpFrontend::stream(Exchange& exchange, Response& response, bool fresh)
{
    return connectFor(exchange, fresh)
        .then(
            [this, &exchange, &response](kj::Own<BackendConnectionPool::Connection> connection) -> kj::Promise<void> {
                exchange.connection = kj::mv(connection);
                return m_loop.timer()
                    .timeoutAfter(remaining(exchange), kj::evalNow([&] { return send(exchange); }))
                    .then(
                        [this, &exchange, &response](kj::HttpClient::Response&& answer) {
                            return pumpAnswer(exchange, kj::mv(answer), response);
                        },
                        [this, &exchange, &response](kj::Exception&& exception) -> kj::Promise<void> {
                            if (exchange.connection->reused && !isTimeout(exception)) {
                                m_counters.counter("requests_retried_total", "reason",
                                    kernel::nameOf(RequestReason::RetriedIdempotent))
                                    += 1;
                                return stream(exchange, response, true);
                            }
                            if (!isTimeout(exception))
                                return retryStreamed(
                                    exchange, response, DispatchResult::Failed, RequestReason::BackendLost);
                            fail(exchange, RequestReason::DeadlinePassed);
                            return reply(exchange, response);
                        });
            },
            [this, &exchange, &response](kj::Exception&&) {
                return retryStreamed(exchange, response, DispatchResult::Shed, RequestReason::BackendUnreachable);
            });
}

kj::Promise<void> HttpFrontend::pumpAnswer(Exchange& exchange, kj::HttpClient::Response answer, Response& response)
{
    exchange.answerBegan = true;
    exchange.shed = answer.statusCode == overloaded;
    if (!hasFraming(exchange.method, answer)) {
        fail(exchange, RequestReason::AnswerTruncated);
        return reply(exchange, response);
    }
    kj::HttpHeaders headers(*m_headers);
    addHeaders(headers, endToEndHeaders(*answer.headers));
    headers.add(outcomeHeader, kj::str(kernel::nameOf(Outcome::Answered).data()));
    const bool closes = closesConnection(*answer.headers);
    exchange.output = response.send(answer.statusCode, answer.statusText, headers, answer.body->tryGetLength());
    const bool bodiless = hasNoBody(exchange.method, answer.statusCode);
    auto pumping = bodiless ? kj::Promise<void>(kj::READY_NOW) : answer.body->pumpTo(*exchange.output).ignoreResult();
    return pumping.attach(kj::mv(answer.body))
        .then(
            [this, &exchange, closes] {
                exchange.output = nullptr;
                exchange.machine.answer();
                if (!closes)
                    m_backendPool.release(kj::mv(exchange.connection));
                finishExchange(exchange);
            },
            [this, &exchange](kj::Exception&& exception) {
                exchange.caller->abortWrites();
                exchange.output = nullptr;
                fail(exchange, RequestReason::AnswerTruncated);
                kj::throwFatalException(kj::mv(exception)); // closes the caller's connection
            });
}

void HttpFrontend::fail(Exchange& exchange, RequestReason reason)
{
    if (exchange.machine.fail(reason))
        finishExchange(exchange);
}

void HttpFrontend::finishExchange(Exchange& exchange)
{
    const Outcome outcome = exchange.machine.outcome();
    m_counters.counter("requests_ended_total", "state", kernel::nameOf(exchange.machine.state())) += 1;
    m_counters.counter("requests_outcome_total", "outcome", kernel::nameOf(outcome)) += 1;
    if (exchange.machine.reason() != RequestReason::None) {
        const auto name = outcome == Outcome::NotRun ? "requests_refused_total" : "requests_unknown_total";
        m_counters.counter(name, "reason", kernel::nameOf(exchange.machine.reason())) += 1;
    }
    if (exchange.claimed) {
        ClaimState state = outcome == Outcome::NotRun ? ClaimState::NotRun : ClaimState::Unknown;
        if (exchange.machine.state() == RequestState::Answered)
            state = ClaimState::Answered;
        m_claims.finish(exchange.attempt, state, exchange.answer);
    }
    if (exchange.slot.get()) {
        const bool answered = exchange.machine.state() == RequestState::Answered;
        const bool cancelled = exchange.machine.state() == RequestState::Cancelled;
        const auto failed = cancelled ? DispatchResult::Cancelled : DispatchResult::Failed;
        const auto whole = exchange.shed ? DispatchResult::Shed : DispatchResult::Answered;
        exchange.slot->finish(answered ? whole : failed);
        exchange.slot = nullptr;
    }
}

kj::Promise<void> HttpFrontend::reply(Exchange& exchange, Response& response)
{
    const Outcome outcome = exchange.machine.outcome();
    if (!exchange.answer)
        return replyOutcome(outcome, exchange.machine.reason(), exchange.retryAfter, response);
    const auto& answer = *exchange.answer;
    kj::HttpHeaders headers(*m_headers);
    addHeaders(headers, answer.headers);
    headers.add(outcomeHeader, kj::str(kernel::nameOf(outcome).data()));
    auto output
        = response.send(answer.status, answer.statusText.c_str(), headers, std::uint64_t { answer.body.size() });
    if (answer.body.empty())
        return kj::READY_NOW;
    auto writing = output->write(answer.body.data(), answer.body.size());
    return writing.attach(kj::mv(output));
}

kj::Promise<void> HttpFrontend::replyOutcome(
    Outcome outcome, RequestReason reason, std::chrono::milliseconds retryAfter, Response& response)
{
    const auto status = statusOf(reason);
    auto body = kj::str(outcomeBody(outcome, reason).c_str());
    kj::HttpHeaders headers(*m_headers);
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
    headers.add(outcomeHeader, kj::str(kernel::nameOf(outcome).data()));
    if (retryAfter.count() > 0)
        headers.add("Retry-After", kj::str(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
    auto output = response.send(status.code, status.text, headers, body.size());
    auto writing = output->write(body.begin(), body.size());
    return writing.attach(kj::mv(output), kj::mv(body));
}

kj::Promise<void> HttpFrontend::handleClientProtocolError(
    kj::HttpHeaders::ProtocolError, kj::HttpService::Response& response)
{
    m_counters.counter("requests_refused_total", "reason", kernel::nameOf(RequestReason::Malformed)) += 1;
    return replyOutcome(Outcome::NotRun, RequestReason::Malformed, {}, response);
}

// Closes the connection of an answer that failed after its start, so that the caller does not take it for complete.
kj::Promise<void> HttpFrontend::handleApplicationError(kj::Exception, kj::Maybe<kj::HttpService::Response&>)
{
    m_counters.counter("caller_connections_broken_total") += 1;
    return kj::READY_NOW;
}

void HttpFrontend::taskFailed(kj::Exception&& exception) { KJ_LOG(ERROR, exception); }

} // namespace yuccahook::request
