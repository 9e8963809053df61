#pragma once

#include <kj/async-io.h>

namespace yuccahook::request {

/// A caller's stream whose writes can be aborted, so that no later write reaches the caller. This is needed because an
/// HTTP writer that is dropped in the middle of a chunked body writes the last chunk, which would make a truncated body
/// look complete.
class AbortableStream final : public kj::AsyncIoStream {
public:
    explicit AbortableStream(kj::Own<kj::AsyncIoStream> inner)
        : m_inner(kj::mv(inner))
    {
    }

    /// Makes every later write fail as disconnected.
    void abortWrites() { m_isAborted = true; }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minimum, std::size_t maximum) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

private:
    kj::Own<kj::AsyncIoStream> m_inner;
    bool m_isAborted = false;
};

} // namespace yuccahook::request
