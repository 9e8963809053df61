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
    File, ///< An operation on a file failed; see the status.
    NotAJournal,
    Damaged, ///< Bytes that were synced have changed, at `offset`.
    UnknownVersion
};

/// Why a journal can't be used, and where.
struct JournalFault {
    JournalError error = JournalError::File;
    FileStatus file = FileStatus::Done;
    std::uint64_t offset = 0;
};

/// What reading the bytes of a journal found.
struct JournalScan {
    std::uint64_t validBytes = 0; ///< What follows is a frame that was never completed.
    std::uint64_t frames = 0;
    JournalState state;
    std::optional<JournalFault> fault;
};

/// Reads a journal's bytes; `onRecord` sees each record with its offset.
JournalScan scanJournal(
    std::string_view content, const std::function<void(std::uint64_t offset, const JournalRecord&)>& onRecord = {});

/// The durable part of a control instance, one file of checksummed frames under the data folder. A frame holds all
/// that one sync promises, so only the last one can be torn. Once a write or a sync has failed nothing more is taken:
/// what a failed sync left behind is not known before the file is read again.
class Journal {
public:
    static constexpr std::string_view fileName = "journal";

    explicit Journal(FileLayer& files)
        : m_files(files)
    {
    }

    /// Reads the journal, or makes one with the identity `newDisk` when there is none. Nothing when it can't.
    std::optional<JournalState> open(std::uint64_t newDisk);

    /// Appends a record and syncs it. False when it may not last.
    bool write(const JournalRecord& record);

    /// Replaces the whole journal by one record.
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
