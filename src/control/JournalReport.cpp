#include "control/JournalReport.h"

#include "control/Command.h"
#include "control/Journal.h"
#include "control/SnapshotCodec.h"

#include <filesystem>

namespace yuccahook::control {

namespace {

constexpr auto replaceInvalid = nlohmann::json::error_handler_t::replace; // names may not be UTF-8

std::string describeCommand(const std::string& payload)
{
    const auto command = decode(payload);
    if (!command)
        return "unreadable";
    if (const auto* note = std::get_if<SubmitNote>(&*command))
        return note->text;
    if (const auto* publish = std::get_if<PublishRoutes>(&*command))
        return "route table " + std::to_string(publish->table.version) + " of "
            + std::to_string(publish->table.routes.size()) + " routes";
    if (const auto* order = std::get_if<SetEvacuation>(&*command))
        return "evacuation of " + nlohmann::json(order->domain).dump(-1, ' ', false, replaceInvalid)
            + (order->active ? " starts" : " ends");
    if (const auto* members = std::get_if<UpdateMembers>(&*command))
        return std::to_string(members->joined.size()) + " members joined, " + std::to_string(members->draining.size())
            + " draining, " + std::to_string(members->removed.size()) + " removed";
    return "barrier";
}

nlohmann::json describeEntry(std::uint64_t index, const QuorumEntry& entry)
{
    nlohmann::json body { { "index", index }, { "term", entry.term }, { "kind", kernel::nameOf(entry.kind) } };
    if (entry.cluster != 0)
        body["cluster"] = entry.cluster;
    if (!entry.voters.empty())
        body["voters"] = entry.voters;
    if (entry.kind == EntryKind::Command)
        body["command"] = describeCommand(entry.payload);
    return body;
}

nlohmann::json describeSnapshot(const QuorumSnapshot& snapshot)
{
    nlohmann::json body { { "index", snapshot.index }, { "term", snapshot.term }, { "cluster", snapshot.cluster },
        { "voters", snapshot.configuration.voters }, { "bytes", snapshot.state.size() } };
    const auto image = decodeImage(snapshot.state);
    if (!image)
        return body;
    body["revision"] = image->membership.revision;
    body["notes"] = image->notes.size();
    body["members"] = image->membership.members.size();
    body["evacuated"] = image->membership.evacuated;
    return body;
}

nlohmann::json describeRecord(std::uint64_t offset, const JournalRecord& record)
{
    nlohmann::json body { { "offset", offset } };
    if (record.disk != 0)
        body["disk"] = record.disk;
    if (record.snapshot && record.snapshot->index > 0)
        body["snapshot"] = describeSnapshot(*record.snapshot);
    if (record.vote)
        body["vote"] = { { "term", record.vote->term }, { "disk", record.vote->disk } };
    std::uint64_t index = record.firstIndex;
    for (const auto& entry : record.entries)
        body["entries"].push_back(describeEntry(index++, entry));
    return body;
}

nlohmann::json describeFault(const JournalFault& fault)
{
    nlohmann::json body { { "error", kernel::nameOf(fault.error) }, { "offset", fault.offset } };
    if (fault.file != FileStatus::Done)
        body["file"] = kernel::nameOf(fault.file);
    return body;
}

} // namespace

JournalReport inspectJournal(const std::string& folder, bool withRecords)
{
    std::string content;
    FileStatus status = FileStatus::Missing;
    if (std::filesystem::is_directory(folder))
        status = FolderFiles(folder).read(std::string(Journal::fileName), content);
    if (status != FileStatus::Done)
        return { false, { { "fault", describeFault({ JournalError::File, status, 0 }) } } };
    auto records = nlohmann::json::array();
    const auto scan = scanJournal(content, [&](std::uint64_t offset, const JournalRecord& record) {
        if (withRecords)
            records.push_back(describeRecord(offset, record));
    });
    const auto& state = scan.state;
    JournalReport report;
    report.intact = !scan.fault;
    report.body = { { "disk", state.disk }, { "term", state.vote.term }, { "frames", scan.frames },
        { "lastIndex", state.snapshot.index + state.entries.size() }, { "snapshotIndex", state.snapshot.index },
        { "bytes", content.size() }, { "tornBytes", scan.fault ? 0 : content.size() - scan.validBytes } };
    if (withRecords)
        report.body["records"] = std::move(records);
    if (scan.fault)
        report.body["fault"] = describeFault(*scan.fault);
    return report;
}

} // namespace yuccahook::control
