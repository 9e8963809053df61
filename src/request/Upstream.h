#pragma once

#include <cstddef>
#include <deque>
#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

namespace yuccahook::request {

/// Connections to a backend server, one for each request in progress, kept for a while to be used again.
class Upstream {
public:
    using Connector = kj::Function<kj::Promise<kj::Own<kj::AsyncIoStream>>()>;

    struct Connection {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<kj::HttpClient> client;
        bool reused = false;
        bool belongsToSlot = false; ///< Leads to another agent's backend server.
        kj::TimePoint idleSince = kj::origin<kj::TimePoint>();
    };

    Upstream(kj::Timer& timer, const kj::HttpHeaderTable& headers, Connector connector);
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;
    ~Upstream() noexcept(false) = default;

    /// A connection for one request. One that was used before may turn out closed, so what must not be sent twice
    /// asks for a fresh one.
    kj::Promise<kj::Own<Connection>> connect(bool fresh);

    /// A connection over a stream that came with a slot.
    kj::Own<Connection> adopt(kj::Own<kj::AsyncIoStream> stream);

    /// Takes back a connection whose answer was read to its end.
    void release(kj::Own<Connection> connection);

    std::size_t idle() const { return m_idle.size(); }

private:
    kj::Own<Connection> over(kj::Own<kj::AsyncIoStream> stream);

    kj::Timer& m_timer;
    const kj::HttpHeaderTable& m_headers;
    Connector m_connector;
    std::deque<kj::Own<Connection>> m_idle; // used last at the back
};

} // namespace yuccahook::request
