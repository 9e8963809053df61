#include "control/Compression.h"

#include <cstdint>
#include <cstring>
#include <zstd.h>

namespace yuccahook::control {

namespace {

constexpr std::size_t minimumBytes = 1024;
constexpr unsigned long long maximumContentBytes = 64ULL << 20;
constexpr int level = 1; // higher levels save little and hold up the caller

// A Cap'n Proto message begins with its number of segments, which is far below this number.
bool isFrame(std::string_view bytes)
{
    std::uint32_t magic = 0;
    if (bytes.size() < sizeof magic)
        return false;
    std::memcpy(&magic, bytes.data(), sizeof magic);
    return magic == ZSTD_MAGICNUMBER;
}

} // namespace

std::string compress(std::string bytes)
{
    if (bytes.size() < minimumBytes || bytes.size() > maximumContentBytes)
        return bytes;
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(frame.data(), frame.size(), bytes.data(), bytes.size(), level);
    if (ZSTD_isError(size) || size >= bytes.size())
        return bytes;
    frame.resize(size);
    frame.shrink_to_fit();
    return frame;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    if (!isFrame(bytes))
        return std::string(bytes);
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maximumContentBytes)
        return std::nullopt;
    std::string content(size, '\0');
    const std::size_t read = ZSTD_decompress(content.data(), content.size(), bytes.data(), bytes.size());
    return ZSTD_isError(read) || read != size ? std::nullopt : std::optional(std::move(content));
}

} // namespace yuccahook::control
