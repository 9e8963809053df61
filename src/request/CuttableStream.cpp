#include "request/CuttableStream.h"

#include <kj/debug.h>

namespace yuccahook::request {

kj::Promise<std::size_t> CuttableStream::tryRead(void* buffer, std::size_t minimum, std::size_t maximum)
{
    return m_inner->tryRead(buffer, minimum, maximum);
}

kj::Promise<void> CuttableStream::write(const void* buffer, std::size_t size)
{
    if (m_isCut)
        return KJ_EXCEPTION(DISCONNECTED, "stream was cut");
    return m_inner->write(buffer, size);
}

kj::Promise<void> CuttableStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (m_isCut)
        return KJ_EXCEPTION(DISCONNECTED, "stream was cut");
    return m_inner->write(pieces);
}

} // namespace yuccahook::request
