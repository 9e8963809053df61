#pragma once

#include "control/FileLayer.h"
#include "control/QuorumMessage.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace yuccahook::control {

/// Why a journal can't be used.
enum class JournalError : std::uint8_t {
    File, ///< A file operation failed; see JournalFault::file.
    NotAJournal,
    Damaged, ///< Synced bytes have changed, at JournalFault::offset.
    UnknownVersion
};

/// Why a journal can't be used, and at which byte.
struct JournalFault {
    JournalError error = JournalError::File;
    FileStatus file = FileStatus::Done;
    std::uint64_t offset = 0;
};

/// The result of reading a journal's bytes.
struct JournalScan {
    /// Without a fault, the bytes after these are a frame that was never written completely.
    std::uint64_t validBytes = 0;
    std::uint64_t frames = 0;
    JournalState state;
    std::optional<JournalFault> fault;
};

/// Reads a journal's bytes; `onRecord` is called with each valid record and the offset of its frame in bytes.
JournalScan scanJournal(
    std::string_view content, const std::function<void(std::uint64_t offset, const JournalRecord&)>& onRecord = {});

/// The durable state of a control instance: one file of checksummed frames in the data folder. A frame contains
/// everything that one sync makes durable, so only the last frame can be incomplete. After a failed write or sync all
/// further writes are refused, because what a failed sync left in the file is not known until the file is read again.
class Journal {
public:
    static constexpr std::string_view fileName = "journal";

    explicit Journal(FileLayer& files)
        : m_files(files)
    {
    }

    /// Reads the journal, or creates one with the identity `newDisk` when there is none. Cuts off an incomplete last
    /// frame. Returns nothing on failure; see `fault`.
    std::optional<JournalState> open(std::uint64_t newDisk);

    /// Appends a record and syncs it; false when it may not be durable.
    bool write(const JournalRecord& record);

    /// Replaces the whole journal by one record; false when that may not be durable.
    bool replace(const JournalRecord& whole);

    const std::optional<JournalFault>& fault() const { return m_fault; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    bool check(FileStatus status);

    FileLayer& m_files;
    std::optional<JournalFault> m_fault;
    std::uint64_t m_bytes = 0;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::JournalError> {
    static constexpr std::array<std::string_view, 4> names { "file", "not-a-journal", "damaged", "unknown-version" };
};
