#include "request/HttpFront.h"

namespace yuccahook::request {

HttpFront::HttpFront(net::Loop& loop, kj::Own<kj::NetworkAddress> backend, observe::Counters& counters)
    : m_counters(counters)
    , m_backend(kj::mv(backend))
    , m_client(kj::newHttpClient(loop.timer(), m_headers, *m_backend))
    , m_timer(loop.timer())
{
}

HttpFront::Served::Served(HttpFront& front, kj::Own<kj::AsyncIoStream> stream)
    : m_server(front.m_timer, front.m_headers, front)
    , m_serving(m_server.listenHttp(kj::mv(stream)).eagerlyEvaluate([](kj::Exception&&) {}))
{
}

void HttpFront::Served::drain()
{
    m_draining = m_server.drain().eagerlyEvaluate([](kj::Exception&&) {});
}

kj::Promise<void> HttpFront::request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
    kj::AsyncInputStream& body, Response& response)
{
    m_counters.counter("requests_dispatched_total") += 1;
    auto request = m_client->request(method, url, headers, body.tryGetLength());
    auto upload = body.pumpTo(*request.body).ignoreResult().attach(kj::mv(request.body)).eagerlyEvaluate(nullptr);
    return request.response
        .then([this, &response](kj::HttpClient::Response&& answer) {
            auto out
                = response.send(answer.statusCode, answer.statusText, *answer.headers, answer.body->tryGetLength());
            auto& input = *answer.body;
            auto& output = *out;
            return input.pumpTo(output).ignoreResult().attach(kj::mv(out), kj::mv(answer.body)).then([this] {
                m_counters.counter("requests_answered_total") += 1;
            });
        })
        .attach(kj::mv(upload));
}

} // namespace yuccahook::request
