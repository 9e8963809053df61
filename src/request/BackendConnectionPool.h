#pragma once

#include <cstddef>
#include <deque>
#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

namespace yuccahook::request {

/// HTTP connections to a backend server, one for each request in progress. Idle connections are kept for reuse for up
/// to two seconds.
class BackendConnectionPool {
public:
    using Connector = kj::Function<kj::Promise<kj::Own<kj::AsyncIoStream>>()>;

    struct Connection {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<kj::HttpClient> client;
        bool reused = false; ///< Has served an earlier request, so the backend server may have closed it.
        bool belongsToSlot = false; ///< Leads to another agent's backend server and is not kept for reuse.
        kj::TimePoint idleSince = kj::origin<kj::TimePoint>();
    };

    BackendConnectionPool(kj::Timer& timer, const kj::HttpHeaderTable& headers, Connector connector);
    BackendConnectionPool(const BackendConnectionPool&) = delete;
    BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;
    ~BackendConnectionPool() noexcept(false) = default;

    /// Returns a connection for one request; rejected when none is established in two seconds. A reused connection may
    /// turn out to be closed, so requests that must not be sent twice need a `fresh` one.
    kj::Promise<kj::Own<Connection>> connect(bool fresh);

    /// Wraps the stream of a peer agent's slot.
    kj::Own<Connection> adopt(kj::Own<kj::AsyncIoStream> stream);

    /// Returns a connection whose answer was read completely, for reuse.
    void release(kj::Own<Connection> connection);

    /// The number of idle connections.
    std::size_t idle() const { return m_idle.size(); }

private:
    kj::Own<Connection> wrap(kj::Own<kj::AsyncIoStream> stream);

    kj::Timer& m_timer;
    const kj::HttpHeaderTable& m_headers;
    Connector m_connector;
    std::deque<kj::Own<Connection>> m_idle; // most recently used at the back
};

} // namespace yuccahook::request
