#include "control/ViewCache.h"

#include "control/Compression.h"
#include "control/MembershipCodec.h"

#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace yuccahook::control {

namespace {

constexpr std::uint64_t traversalLimitWords = 1ULL << 27; // 1 GiB, above any view

} // namespace

std::string encodeView(const flow::MembershipDelta& delta)
{
    capnp::MallocMessageBuilder arena;
    writeDelta(arena.initRoot<schema::View>(), delta);
    const auto words = capnp::messageToFlatArray(arena);
    const auto bytes = words.asBytes();
    return compress({ reinterpret_cast<const char*>(bytes.begin()), bytes.size() });
}

std::optional<flow::MembershipDelta> decodeView(std::string_view stored)
{
    const auto bytes = decompress(stored);
    if (!bytes || bytes->size() % sizeof(capnp::word) != 0)
        return std::nullopt;
    auto words = kj::heapArray<capnp::word>(bytes->size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes->data(), bytes->size());
    std::optional<flow::MembershipDelta> delta;
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader message(words, { traversalLimitWords, 64 });
        delta = readDelta(message.getRoot<schema::View>());
    });
    return failure == nullptr ? delta : std::nullopt;
}

const std::string& ViewCache::view(
    std::uint64_t revision, const Request& request, const std::function<flow::MembershipDelta()>& make)
{
    if (std::exchange(m_revision, revision) != revision || m_views.size() >= maximumViews)
        m_views.clear();
    const auto found = m_views.find(request);
    return found != m_views.end() ? found->second : m_views.emplace(request, encodeView(make())).first->second;
}

} // namespace yuccahook::control
