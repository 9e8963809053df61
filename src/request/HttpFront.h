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

    /// One caller's stream. Dropping it cuts the stream.
    class Served {
    public:
        Served(HttpFront& front, kj::Own<kj::AsyncIoStream> stream);

        /// Ends the stream after the answer in progress.
        void drain();

    private:
        kj::HttpServer m_server;
        kj::Promise<void> m_serving;
        kj::Promise<void> m_draining = nullptr;
    };

    /// Serves a caller's stream until it ends.
    kj::Own<Served> serve(kj::Own<kj::AsyncIoStream> stream) { return kj::heap<Served>(*this, kj::mv(stream)); }

private:
    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& body, Response& response) override;

    observe::Counters& m_counters;
    kj::HttpHeaderTable m_headers;
    kj::Own<kj::NetworkAddress> m_backend;
    kj::Own<kj::HttpClient> m_client;
    kj::Timer& m_timer;
};

} // namespace yuccahook::request
