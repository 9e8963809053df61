#pragma once

#include <cstdint>
#include <kj/async-io.h>

namespace yuccahook::bench {

/// A stream that adds the number of bytes written to it to a counter, which must outlive the stream.
class CountingStream final : public kj::AsyncIoStream {
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, std::uint64_t& written)
        : m_inner(kj::mv(inner))
        , m_written(written)
    {
    }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        return m_inner->tryRead(buffer, minBytes, maxBytes);
    }

    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        m_written += size;
        return m_inner->write(buffer, size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (const auto piece : pieces)
            m_written += piece.size();
        return m_inner->write(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

private:
    kj::Own<kj::AsyncIoStream> m_inner;
    std::uint64_t& m_written;
};

} // namespace yuccahook::bench
