#pragma once

#include <cstdint>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <kj/timer.h>

namespace yuccahook::net {

/// A stream that measures what is received over it.
class MeteredStream final : public kj::AsyncIoStream {
public:
    MeteredStream(kj::Own<kj::AsyncIoStream> inner, kj::Timer& timer)
        : m_inner(kj::mv(inner))
        , m_timer(timer)
    {
    }

    /// Starts a new measurement, as at the start of a call.
    void restart();

    /// Bytes received since the start of the measurement.
    std::uint64_t receivedBytes() const { return m_receivedBytes; }

    /// Fails when nothing is received for `limit` while `reply` is awaited. A large reply may thus take as long as the
    /// link needs, while a silent sender is noticed soon.
    template <typename Reply> kj::Promise<Reply> whileReceiving(kj::Promise<Reply> reply, kj::Duration limit)
    {
        return reply.exclusiveJoin(waitForSilence(limit).then([]() -> kj::Promise<Reply> {
            return KJ_EXCEPTION(OVERLOADED, "nothing was received within the time limit");
        }));
    }

    /// Milliseconds from the first to the last of these bytes.
    std::uint64_t transferMillis() const;

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minimum, std::size_t maximum) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override { return m_inner->write(buffer, size); }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return m_inner->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

private:
    void recordReceived(std::size_t count);
    kj::Promise<void> waitForSilence(kj::Duration limit);

    kj::Own<kj::AsyncIoStream> m_inner;
    kj::Timer& m_timer;
    std::uint64_t m_receivedBytes = 0;
    kj::TimePoint m_firstReceived = kj::origin<kj::TimePoint>();
    kj::TimePoint m_lastReceived = kj::origin<kj::TimePoint>();
};

} // namespace yuccahook::net
