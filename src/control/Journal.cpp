#include "control/Journal.h"

#include "control/QuorumCodec.h"

#include <cstring>
#include <xxhash.h>

namespace yuccahook::control {

namespace {

constexpr std::string_view magic = "YHJRNL";
constexpr std::uint16_t version = 1;
constexpr std::size_t headerBytes = 8; // magic and version
constexpr std::uint32_t frameMark = 0x4652'4a59;
constexpr std::string_view nextFileName = "journal.next";

// `headerHash` covers the fields before it and distinguishes a valid length from incomplete bytes.
struct FrameHeader {
    std::uint32_t mark = frameMark;
    std::uint32_t length = 0;
    std::uint64_t payloadHash = 0;
    std::uint64_t headerHash = 0;
};
static_assert(sizeof(FrameHeader) == 24);

std::uint64_t hashOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::uint64_t hashOfHeader(const FrameHeader& header)
{
    return XXH3_64bits(&header, offsetof(FrameHeader, headerHash));
}

std::string frameOf(const JournalRecord& record)
{
    const std::string payload = encodeRecord(record);
    FrameHeader header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.payloadHash = hashOf(payload);
    header.headerHash = hashOfHeader(header);
    std::string frame(sizeof header, '\0');
    std::memcpy(frame.data(), &header, sizeof header);
    return frame + payload;
}

std::string fileHeader()
{
    std::string header(magic);
    header.push_back(static_cast<char>(version & 0xff));
    header.push_back(static_cast<char>(version >> 8));
    return header;
}

// The payload of the frame at an offset; nothing when there is no complete, valid frame.
std::optional<std::string_view> payloadAt(std::string_view content, std::uint64_t offset)
{
    FrameHeader header;
    if (offset > content.size() || content.size() - offset < sizeof header)
        return std::nullopt;
    std::memcpy(&header, content.data() + offset, sizeof header);
    if (header.mark != frameMark || header.headerHash != hashOfHeader(header))
        return std::nullopt;
    const std::string_view rest = content.substr(offset + sizeof header);
    if (rest.size() < header.length || hashOf(rest.substr(0, header.length)) != header.payloadHash)
        return std::nullopt;
    return rest.substr(0, header.length);
}

bool hasFrameAfter(std::string_view content, std::uint64_t offset)
{
    std::string mark(sizeof frameMark, '\0');
    std::memcpy(mark.data(), &frameMark, sizeof frameMark);
    for (auto at = content.find(mark, offset + 1); at != std::string_view::npos; at = content.find(mark, at + 1)) {
        if (payloadAt(content, at))
            return true;
    }
    return false;
}

std::optional<JournalFault> faultOfHeader(std::string_view content)
{
    if (content.size() < headerBytes || content.substr(0, magic.size()) != magic)
        return JournalFault { JournalError::NotAJournal, FileStatus::Done, 0 };
    if (content.substr(0, headerBytes) != fileHeader())
        return JournalFault { JournalError::UnknownVersion, FileStatus::Done, magic.size() };
    return std::nullopt;
}

} // namespace

JournalScan scanJournal(
    std::string_view content, const std::function<void(std::uint64_t, const JournalRecord&)>& onRecord)
{
    JournalScan scan;
    scan.fault = faultOfHeader(content);
    if (scan.fault)
        return scan;
    const JournalFault damaged { JournalError::Damaged, FileStatus::Done, 0 };
    scan.validBytes = headerBytes;
    while (scan.validBytes < content.size()) {
        const auto payload = payloadAt(content, scan.validBytes);
        if (!payload) {
            if (scan.frames == 0 || hasFrameAfter(content, scan.validBytes))
                scan.fault = damaged; // damage: the first frame was synced before the file got its name
            break;
        }
        const auto record = decodeRecord(*payload);
        if (!record || !scan.state.apply(*record)) {
            scan.fault = damaged;
            break;
        }
        if (onRecord)
            onRecord(scan.validBytes, *record);
        scan.validBytes += sizeof(FrameHeader) + payload->size();
        ++scan.frames;
    }
    if (scan.state.disk == 0)
        scan.fault = damaged;
    if (scan.fault)
        scan.fault->offset = scan.validBytes;
    return scan;
}

// Records the first failed operation as the fault; false once there is one.
bool Journal::check(FileStatus status)
{
    if (status != FileStatus::Done && !m_fault)
        m_fault = JournalFault { JournalError::File, status, m_bytes };
    return !m_fault;
}

std::optional<JournalState> Journal::open(std::uint64_t newDisk)
{
    const std::string name(fileName);
    std::string content;
    const FileStatus status = m_files.read(name, content);
    if (status == FileStatus::Missing) {
        JournalRecord identity;
        identity.disk = newDisk;
        JournalState fresh;
        fresh.apply(identity);
        return replace(identity) ? std::optional(fresh) : std::nullopt;
    }
    if (!check(status))
        return std::nullopt;
    JournalScan scan = scanJournal(content);
    m_fault = scan.fault;
    if (m_fault)
        return std::nullopt;
    m_bytes = scan.validBytes;
    if (scan.validBytes < content.size() && !check(m_files.truncate(name, scan.validBytes)))
        return std::nullopt;
    // The process that wrote the file may have ended before it synced the file or its rename.
    if (!check(m_files.sync(name)) || !check(m_files.syncFolder()))
        return std::nullopt;
    return std::move(scan.state);
}

bool Journal::write(const JournalRecord& record)
{
    const std::string name(fileName);
    const std::string frame = frameOf(record);
    if (m_fault || !check(m_files.append(name, frame)) || !check(m_files.sync(name)))
        return false;
    m_bytes += frame.size();
    return true;
}

bool Journal::replace(const JournalRecord& whole)
{
    const std::string next(nextFileName);
    const std::string content = fileHeader() + frameOf(whole);
    const bool written = !m_fault && check(m_files.create(next)) && check(m_files.append(next, content))
        && check(m_files.sync(next)) && check(m_files.rename(next, std::string(fileName)))
        && check(m_files.syncFolder());
    if (written)
        m_bytes = content.size();
    return written;
}

} // namespace yuccahook::control
