#pragma once

#include <kj/async-io.h>

namespace yuccahook::request {

/// A caller's stream that can be cut: nothing written from then on reaches the caller. An HTTP writer that is
/// dropped in the middle of a chunked body writes the last chunk, which would make the body look whole.
class CuttableStream final : public kj::AsyncIoStream {
public:
    explicit CuttableStream(kj::Own<kj::AsyncIoStream> inner)
        : m_inner(kj::mv(inner))
    {
    }

    void cut() { m_isCut = true; }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minimum, std::size_t maximum) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

private:
    kj::Own<kj::AsyncIoStream> m_inner;
    bool m_isCut = false;
};

} // namespace yuccahook::request
