#include "control/SnapshotCodec.h"

#include "control/Compression.h"
#include "control/MembershipCodec.h"
#include "journal.capnp.h"

#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace yuccahook::control {

namespace {

constexpr std::uint64_t traversalLimitWords = 1ULL << 27; // 1 GiB, above any snapshot

ClusterImage readImage(schema::ClusterImage::Reader reader)
{
    ClusterImage image;
    const auto delta = readDelta(reader.getView());
    image.membership = { delta.cluster, delta.revision, delta.services, delta.members, delta.routeVersion,
        delta.flowIdleMillis, delta.routes, delta.evacuated, delta.overload };
    image.routeDocument = stringOf(reader.getRouteDocument());
    for (const auto note : reader.getNotes())
        image.notes[note.getNumber()] = { note.getContent(), note.getAuthor(), note.getRevision() };
    image.lastId = reader.getLastId();
    return image;
}

} // namespace

std::string encodeImage(const ClusterImage& image)
{
    capnp::MallocMessageBuilder arena;
    auto builder = arena.initRoot<schema::ClusterImage>();
    const auto& membership = image.membership;
    writeDelta(builder.initView(),
        { membership.cluster, membership.revision, true, membership.services, {}, membership.members, {},
            membership.routeVersion, membership.flowIdleMillis, membership.routes, {}, {}, membership.evacuated,
            membership.overload });
    builder.setRouteDocument(textOf(image.routeDocument));
    auto notes = builder.initNotes(image.notes.size());
    std::size_t index = 0;
    for (const auto& [number, record] : image.notes) {
        auto note = notes[index++];
        note.setNumber(number);
        note.setContent(record.content);
        note.setAuthor(record.author);
        note.setRevision(record.revision);
    }
    builder.setLastId(image.lastId);
    const auto words = capnp::messageToFlatArray(arena);
    const auto bytes = words.asBytes();
    return compress({ reinterpret_cast<const char*>(bytes.begin()), bytes.size() });
}

std::optional<ClusterImage> decodeImage(const std::string& stored)
{
    const auto bytes = decompress(stored);
    if (!bytes || bytes->size() % sizeof(capnp::word) != 0)
        return std::nullopt;
    auto words = kj::heapArray<capnp::word>(bytes->size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes->data(), bytes->size());
    std::optional<ClusterImage> image;
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader message(words, { traversalLimitWords, 64 });
        image = readImage(message.getRoot<schema::ClusterImage>());
    });
    return failure == nullptr ? image : std::nullopt;
}

} // namespace yuccahook::control
