#include "request/AbortableStream.h"

#include <kj/debug.h>

namespace yuccahook::request {

kj::Promise<std::size_t> AbortableStream::tryRead(void* buffer, std::size_t minimum, std::size_t maximum)
{
    return m_inner->tryRead(buffer, minimum, maximum);
}

kj::Promise<void> AbortableStream::write(const void* buffer, std::size_t size)
{
    if (m_isAborted)
        return KJ_EXCEPTION(DISCONNECTED, "writes to the stream were aborted");
    return m_inner->write(buffer, size);
}

kj::Promise<void> AbortableStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (m_isAborted)
        return KJ_EXCEPTION(DISCONNECTED, "writes to the stream were aborted");
    return m_inner->write(pieces);
}

} // namespace yuccahook::request
