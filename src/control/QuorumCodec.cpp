#include "control/QuorumCodec.h"

#include "quorum.capnp.h"

#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace yuccahook::control {

namespace {

constexpr std::uint64_t traversalLimitWords = 1ULL << 27; // 1 GiB, above any snapshot

std::string flatten(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

capnp::Data::Reader dataOf(const std::string& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

std::string textOf(capnp::Data::Reader data) { return { reinterpret_cast<const char*>(data.begin()), data.size() }; }

void writeVoters(capnp::List<schema::Voter>::Builder list, const VoterMap& voters)
{
    std::size_t index = 0;
    for (const auto& [id, disk] : voters) {
        list[index].setId(id);
        list[index++].setDisk(disk);
    }
}

VoterMap readVoters(capnp::List<schema::Voter>::Reader list)
{
    VoterMap voters;
    for (const auto voter : list)
        voters.emplace(voter.getId(), voter.getDisk());
    return voters;
}

void writeEntry(schema::QuorumEntry::Builder builder, const QuorumEntry& entry)
{
    builder.setTerm(entry.term);
    builder.setKind(static_cast<std::uint8_t>(entry.kind));
    builder.setCluster(entry.cluster);
    writeVoters(builder.initVoters(entry.voters.size()), entry.voters);
    builder.setPayload(dataOf(entry.payload));
}

QuorumEntry readEntry(schema::QuorumEntry::Reader reader)
{
    KJ_REQUIRE(reader.getKind() < kernel::EnumNames<EntryKind>::names.size());
    return { reader.getTerm(), static_cast<EntryKind>(reader.getKind()), reader.getCluster(),
        readVoters(reader.getVoters()), textOf(reader.getPayload()) };
}

template <typename Builder> void writeEntries(Builder builder, const std::vector<QuorumEntry>& entries)
{
    auto list = builder.initEntries(entries.size());
    for (std::size_t index = 0; index < entries.size(); ++index)
        writeEntry(list[index], entries[index]);
}

std::vector<QuorumEntry> readEntries(capnp::List<schema::QuorumEntry>::Reader list)
{
    std::vector<QuorumEntry> entries;
    for (const auto entry : list)
        entries.push_back(readEntry(entry));
    return entries;
}

void writeSnapshot(schema::QuorumSnapshot::Builder builder, const QuorumSnapshot& snapshot)
{
    builder.setIndex(snapshot.index);
    builder.setTerm(snapshot.term);
    builder.setCluster(snapshot.cluster);
    writeVoters(builder.initVoters(snapshot.configuration.voters.size()), snapshot.configuration.voters);
    writeVoters(builder.initJoining(snapshot.configuration.joining.size()), snapshot.configuration.joining);
    builder.setState(dataOf(snapshot.state));
}

QuorumSnapshot readSnapshot(schema::QuorumSnapshot::Reader reader)
{
    return { reader.getIndex(), reader.getTerm(), reader.getCluster(),
        { readVoters(reader.getVoters()), readVoters(reader.getJoining()) }, textOf(reader.getState()) };
}

template <typename Root, typename Read> auto decodeAs(std::string_view bytes, Read read)
{
    using Value = decltype(read(std::declval<typename Root::Reader>()));
    std::optional<Value> value;
    if (bytes.size() % sizeof(capnp::word) != 0)
        return value;
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader message(words, { traversalLimitWords, 64 });
        value = read(message.getRoot<Root>());
    });
    if (failure != nullptr)
        value.reset();
    return value;
}

QuorumMessage readMessage(schema::QuorumMessage::Reader reader)
{
    KJ_REQUIRE(reader.getKind() < kernel::EnumNames<MessageKind>::names.size());
    QuorumMessage message;
    message.kind = static_cast<MessageKind>(reader.getKind());
    message.from = reader.getFrom();
    message.disk = reader.getDisk();
    message.to = reader.getTo();
    message.cluster = reader.getCluster();
    message.term = reader.getTerm();
    message.index = reader.getIndex();
    message.logTerm = reader.getLogTerm();
    message.commit = reader.getCommit();
    message.granted = reader.getGranted();
    message.echo = reader.getEcho();
    message.probe = reader.getProbe();
    message.entries = readEntries(reader.getEntries());
    message.snapshot = readSnapshot(reader.getSnapshot());
    message.leader = reader.getLeader();
    message.operatorAddress = net::readEndpoint(reader.getOperatorAddress());
    message.rpcAddress = net::readEndpoint(reader.getRpcAddress());
    return message;
}

JournalRecord readRecord(schema::JournalRecord::Reader reader)
{
    JournalRecord record;
    record.disk = reader.getDisk();
    if (reader.hasSnapshot())
        record.snapshot = readSnapshot(reader.getSnapshot());
    if (reader.getHasVote())
        record.vote = QuorumVote { reader.getTerm(), reader.getVote() };
    record.firstIndex = reader.getFirstIndex();
    record.entries = readEntries(reader.getEntries());
    return record;
}

} // namespace

std::string encodeMessage(const QuorumMessage& message)
{
    capnp::MallocMessageBuilder arena;
    auto builder = arena.initRoot<schema::QuorumMessage>();
    builder.setKind(static_cast<std::uint8_t>(message.kind));
    builder.setFrom(message.from);
    builder.setDisk(message.disk);
    builder.setTo(message.to);
    builder.setCluster(message.cluster);
    builder.setTerm(message.term);
    builder.setIndex(message.index);
    builder.setLogTerm(message.logTerm);
    builder.setCommit(message.commit);
    builder.setGranted(message.granted);
    builder.setEcho(message.echo);
    builder.setProbe(message.probe);
    writeEntries(builder, message.entries);
    if (message.kind == MessageKind::Snapshot)
        writeSnapshot(builder.initSnapshot(), message.snapshot);
    builder.setLeader(message.leader);
    if (message.operatorAddress.isSet())
        net::writeEndpoint(builder.initOperatorAddress(), message.operatorAddress);
    if (message.rpcAddress.isSet())
        net::writeEndpoint(builder.initRpcAddress(), message.rpcAddress);
    return flatten(arena);
}

std::string encodeRecord(const JournalRecord& record)
{
    capnp::MallocMessageBuilder arena;
    auto builder = arena.initRoot<schema::JournalRecord>();
    builder.setDisk(record.disk);
    if (record.snapshot)
        writeSnapshot(builder.initSnapshot(), *record.snapshot);
    if (record.vote) {
        builder.setHasVote(true);
        builder.setTerm(record.vote->term);
        builder.setVote(record.vote->disk);
    }
    builder.setFirstIndex(record.firstIndex);
    writeEntries(builder, record.entries);
    return flatten(arena);
}

std::optional<QuorumMessage> decodeMessage(std::string_view bytes)
{
    return decodeAs<schema::QuorumMessage>(bytes, readMessage);
}

std::optional<JournalRecord> decodeRecord(std::string_view bytes)
{
    return decodeAs<schema::JournalRecord>(bytes, readRecord);
}

} // namespace yuccahook::control
