#include "request/Claim.h"

#include <xxhash.h>

namespace yuccahook::request {

namespace {

constexpr std::size_t claimOverheadBytes = 256;

} // namespace

std::size_t RecordedAnswer::bytes() const
{
    std::size_t total = statusText.size() + body.size();
    for (const auto& [name, value] : headers)
        total += name.size() + value.size();
    return total;
}

RequestDigest digestOf(std::string_view method, std::string_view path, std::string_view body)
{
    std::string text(method);
    text.append(" ").append(path).append("\n").append(body); // neither method nor path holds a space or line end
    const auto hash = XXH3_128bits(text.data(), text.size());
    return { hash.low64, hash.high64 };
}

bool Claim::merge(const Claim& other)
{
    const bool better = other.generation > generation || (other.generation == generation && other.state > state);
    if (!better)
        return false;
    *this = other;
    return true;
}

std::size_t Claim::bytes() const { return claimOverheadBytes + key.size() + (answer ? answer->bytes() : 0); }

} // namespace yuccahook::request
