#include "request/BackendConnectionPool.h"

namespace yuccahook::request {

namespace {

constexpr std::size_t maximumIdle = 64;
// Below the usual keep-alive timeouts of servers, so that the server rarely closes first.
constexpr auto maximumIdleTime = 2 * kj::SECONDS;
constexpr auto connectTimeout = 2 * kj::SECONDS;

} // namespace

BackendConnectionPool::BackendConnectionPool(kj::Timer& timer, const kj::HttpHeaderTable& headers, Connector connector)
    : m_timer(timer)
    , m_headers(headers)
    , m_connector(kj::mv(connector))
{
}

kj::Promise<kj::Own<BackendConnectionPool::Connection>> BackendConnectionPool::connect(bool fresh)
{
    while (!m_idle.empty() && m_timer.now() - m_idle.front()->idleSince > maximumIdleTime)
        m_idle.pop_front();
    if (!fresh && !m_idle.empty()) {
        auto connection = kj::mv(m_idle.back());
        m_idle.pop_back();
        connection->reused = true;
        return kj::mv(connection);
    }
    return m_timer.timeoutAfter(connectTimeout, m_connector()).then([this](kj::Own<kj::AsyncIoStream> stream) {
        return wrap(kj::mv(stream));
    });
}

kj::Own<BackendConnectionPool::Connection> BackendConnectionPool::adopt(kj::Own<kj::AsyncIoStream> stream)
{
    auto connection = wrap(kj::mv(stream));
    connection->belongsToSlot = true;
    return connection;
}

kj::Own<BackendConnectionPool::Connection> BackendConnectionPool::wrap(kj::Own<kj::AsyncIoStream> stream)
{
    auto connection = kj::heap<Connection>();
    connection->client = kj::newHttpClient(m_headers, *stream);
    connection->stream = kj::mv(stream);
    return connection;
}

void BackendConnectionPool::release(kj::Own<Connection> connection)
{
    if (connection->belongsToSlot)
        return;
    connection->idleSince = m_timer.now();
    m_idle.push_back(kj::mv(connection));
    if (m_idle.size() > maximumIdle)
        m_idle.pop_front();
}

} // namespace yuccahook::request
