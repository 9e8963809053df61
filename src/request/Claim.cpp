#include "request/Claim.h"

#include <algorithm>
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
    text.append(" ").append(path).append("\n").append(
        body); // unambiguous: neither method nor path contains a space or newline
    const auto hash = XXH3_128bits(text.data(), text.size());
    return { hash.low64, hash.high64 };
}

bool Claim::merge(const Claim& other)
{
    if (other.generation != generation)
        return replaceIf(other.generation > generation, other);
    if (other.runner == runner && other.attempt == attempt)
        return replaceIf(other.state > state, other);
    // Two home agents granted this generation to different attempts. At most one of them had enough copies to run, and
    // it is not known which.
    if (other.state == ClaimState::NotRun || state == ClaimState::Answered)
        return false;
    if (state == ClaimState::NotRun || other.state == ClaimState::Answered)
        return replaceIf(true, other);
    if (state == ClaimState::Unknown)
        return false;
    state = ClaimState::Unknown;
    since = std::max(since, other.since);
    return true;
}

bool Claim::replaceIf(bool better, const Claim& other)
{
    if (better)
        *this = other;
    return better;
}

std::size_t Claim::bytes() const { return claimOverheadBytes + key.size() + (answer ? answer->bytes() : 0); }

} // namespace yuccahook::request
