#include "net/MeteredStream.h"

namespace yuccahook::net {

void MeteredStream::restart()
{
    m_receivedBytes = 0;
    m_firstReceived = m_lastReceived = m_timer.now();
}

std::uint64_t MeteredStream::transferMillis() const
{
    return static_cast<std::uint64_t>((m_lastReceived - m_firstReceived) / kj::MILLISECONDS);
}

void MeteredStream::recordReceived(std::size_t count)
{
    if (count == 0)
        return;
    m_lastReceived = m_timer.now();
    if (m_receivedBytes == 0)
        m_firstReceived = m_lastReceived;
    m_receivedBytes += count;
}

kj::Promise<void> MeteredStream::waitForSilence(kj::Duration limit)
{
    const kj::TimePoint due = m_lastReceived + limit;
    if (due <= m_timer.now())
        return kj::READY_NOW;
    return m_timer.atTime(due).then([this, limit] { return waitForSilence(limit); });
}

// Reads what has arrived instead of waiting for all of a large message, so that each part is measured when it arrives.
kj::Promise<std::size_t> MeteredStream::tryRead(void* buffer, std::size_t minimum, std::size_t maximum)
{
    return m_inner->tryRead(buffer, minimum == 0 ? 0 : 1, maximum)
        .then([this, buffer, minimum, maximum](std::size_t count) -> kj::Promise<std::size_t> {
            recordReceived(count);
            if (count == 0 || count >= minimum)
                return count;
            return tryRead(static_cast<kj::byte*>(buffer) + count, minimum - count, maximum - count)
                .then([count](std::size_t rest) { return count + rest; });
        });
}

} // namespace yuccahook::net
