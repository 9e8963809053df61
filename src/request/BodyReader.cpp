#include "request/BodyReader.h"

namespace yuccahook::request {

namespace {

constexpr std::size_t chunkBytes = 16 << 10;

kj::Promise<bool> readChunks(
    kj::AsyncInputStream& input, std::size_t limit, std::string& text, kj::ArrayPtr<char> buffer)
{
    return input.tryRead(buffer.begin(), 1, buffer.size())
        .then([&input, limit, &text, buffer](std::size_t count) -> kj::Promise<bool> {
            if (count == 0)
                return true;
            if (text.size() + count > limit)
                return false;
            text.append(buffer.begin(), count);
            return readChunks(input, limit, text, buffer);
        });
}

} // namespace

kj::Promise<bool> readBounded(kj::AsyncInputStream& input, std::size_t limit, std::string& text)
{
    KJ_IF_MAYBE (length, input.tryGetLength()) {
        if (*length > limit)
            return false;
    }
    auto buffer = kj::heapArray<char>(chunkBytes);
    auto reading = readChunks(input, limit, text, buffer);
    return reading.attach(kj::mv(buffer));
}

} // namespace yuccahook::request
