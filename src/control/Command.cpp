#include "control/Command.h"

#include "control/Compression.h"
#include "control/MembershipCodec.h"
#include "journal.capnp.h"

#include <algorithm>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace yuccahook::control {

namespace {

constexpr std::uint64_t traversalLimitWords = 1ULL << 27; // 1 GiB, above any command

std::string flatten(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

void writeIds(capnp::List<std::uint32_t>::Builder list, const std::vector<std::uint32_t>& ids)
{
    for (std::size_t index = 0; index < ids.size(); ++index)
        list.set(index, ids[index]);
}

std::vector<std::uint32_t> readIds(capnp::List<std::uint32_t>::Reader list)
{
    std::vector<std::uint32_t> ids;
    for (const std::uint32_t id : list)
        ids.push_back(id);
    return ids;
}

void write(schema::Command::Builder builder, const SubmitNote& submit) { builder.setNote(submit.text); }

void write(schema::Command::Builder builder, const UpdateMembers& update)
{
    auto members = builder.initMembers();
    auto joined = members.initJoined(update.joined.size());
    for (std::size_t index = 0; index < update.joined.size(); ++index)
        writeMember(joined[index], update.joined[index]);
    writeIds(members.initDraining(update.draining.size()), update.draining);
    writeIds(members.initRemoved(update.removed.size()), update.removed);
}

void write(schema::Command::Builder builder, const PublishRoutes& publish)
{
    auto table = builder.initRoutes();
    table.setVersion(publish.table.version);
    table.setFlowIdleMillis(publish.table.flowIdleMillis);
    table.setDocument(textOf(publish.table.document));
    writeRoutes(table.initRoutes(publish.table.routes.size()), publish.table.routes);
    auto services = table.initServices(publish.table.services.size());
    auto specs = table.initServiceSpecs(publish.table.services.size());
    for (std::size_t index = 0; index < publish.table.services.size(); ++index) {
        const auto& service = publish.table.services[index];
        services.set(index, textOf(service.name));
        specs[index].setName(textOf(service.name));
        specs[index].setColdMillis(service.cold.coldMillis);
        specs[index].setColdPerSecond(service.cold.perSecond);
    }
    table.setOverload(static_cast<std::uint8_t>(publish.table.overload));
}

void write(schema::Command::Builder builder, const Barrier&) { builder.setBarrier(); }

void write(schema::Command::Builder builder, const SetEvacuation& order)
{
    auto evacuation = builder.initEvacuation();
    evacuation.setDomain(order.domain);
    evacuation.setActive(order.active);
}

PublishRoutes readPublish(schema::RouteTable::Reader reader)
{
    PublishRoutes publish;
    publish.table.version = reader.getVersion();
    publish.table.flowIdleMillis = reader.getFlowIdleMillis();
    publish.table.document = stringOf(reader.getDocument());
    publish.table.routes = readRoutes(reader.getRoutes());
    publish.table.overload = static_cast<flow::OverloadPolicy>(reader.getOverload());
    for (const auto name : reader.getServices())
        publish.table.services.push_back({ stringOf(name) });
    // Absent in journals of earlier releases.
    const auto specs = reader.getServiceSpecs();
    for (std::size_t index = 0; index < std::min<std::size_t>(specs.size(), publish.table.services.size()); ++index)
        publish.table.services[index].cold = { specs[index].getColdMillis(), specs[index].getColdPerSecond() };
    return publish;
}

UpdateMembers readUpdate(schema::UpdateMembers::Reader reader)
{
    UpdateMembers update;
    for (const auto member : reader.getJoined())
        update.joined.push_back(readMember(member));
    update.draining = readIds(reader.getDraining());
    update.removed = readIds(reader.getRemoved());
    return update;
}

} // namespace

std::string encodeCommand(const Command& command)
{
    capnp::MallocMessageBuilder message;
    const auto builder = message.initRoot<schema::Command>();
    std::visit([&builder](const auto& value) { write(builder, value); }, command);
    return compress(flatten(message));
}

// The highest version of the route table is in force, whatever the order. A barrier must not share an entry: that of a
// deposed leader may be committed before something that was acknowledged before the read.
EncodedCommand encode(const Command& command)
{
    return { encodeCommand(command), std::holds_alternative<PublishRoutes>(command) };
}

std::optional<Command> decode(const std::string& stored)
{
    const auto bytes = decompress(stored);
    if (!bytes || bytes->size() % sizeof(capnp::word) != 0)
        return std::nullopt;
    std::optional<Command> command;
    auto words = kj::heapArray<capnp::word>(bytes->size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes->data(), bytes->size());
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader message(words, { traversalLimitWords, 64 });
        const auto reader = message.getRoot<schema::Command>();
        if (reader.isNote())
            command = SubmitNote { reader.getNote() };
        else if (reader.isMembers())
            command = readUpdate(reader.getMembers());
        else if (reader.isRoutes())
            command = readPublish(reader.getRoutes());
        else if (reader.isBarrier())
            command = Barrier {};
        else if (reader.isEvacuation())
            command = SetEvacuation { reader.getEvacuation().getDomain(), reader.getEvacuation().getActive() };
    });
    return failure == nullptr ? command : std::nullopt;
}

} // namespace yuccahook::control
