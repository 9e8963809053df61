#pragma once

#include "net/LoopThread.h"
#include "observe/Counters.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

namespace yuccahook::request {

/// Serves HTTP/1.1 to callers on any stream and passes requests to the backend server.
class HttpFront final : private kj::HttpService {
public:
    HttpFront(net::Loop& loop, kj::Own<kj::NetworkAddress> backend, observe::Counters& counters);

    /// Serves one caller's stream until it ends.
    kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> stream);

    /// Ends streams after the answer in progress; resolves when all have ended.
    kj::Promise<void> drain() { return m_server.drain(); }

private:
    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& body, Response& response) override;

    observe::Counters& m_counters;
    kj::HttpHeaderTable m_headers;
    kj::Own<kj::NetworkAddress> m_backend;
    kj::Own<kj::HttpClient> m_client;
    kj::HttpServer m_server;
};

} // namespace yuccahook::request
