#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace yuccahook::control {

/// The result of a file operation.
enum class FileStatus : std::uint8_t { Done, Missing, InUse, NoSpace, ReadFailed, WriteFailed, SyncFailed };

/// File operations in one data folder. Changes are durable only once the file and the folder are synced.
class FileLayer {
public:
    FileLayer() = default;
    FileLayer(const FileLayer&) = delete;
    FileLayer& operator=(const FileLayer&) = delete;
    virtual ~FileLayer() = default;

    /// Reads a whole file into `content`; `Missing` when it does not exist.
    virtual FileStatus read(const std::string& name, std::string& content) = 0;

    /// Creates an empty file, or empties an existing one.
    virtual FileStatus create(const std::string& name) = 0;
    virtual FileStatus append(const std::string& name, std::string_view bytes) = 0;
    virtual FileStatus truncate(const std::string& name, std::uint64_t size) = 0;
    virtual FileStatus sync(const std::string& name) = 0;
    virtual FileStatus rename(const std::string& from, const std::string& to) = 0;
    virtual FileStatus syncFolder() = 0;
};

/// A folder of the file system, which can be locked against a second process.
class FolderFiles final : public FileLayer {
public:
    explicit FolderFiles(std::string folder);
    ~FolderFiles() override;

    /// Locks the folder until destruction, and creates it when it is missing; `InUse` when another process has locked
    /// it. Can be repeated after another failure.
    FileStatus lock();

    FileStatus read(const std::string& name, std::string& content) override;
    FileStatus create(const std::string& name) override;
    FileStatus append(const std::string& name, std::string_view bytes) override;
    FileStatus truncate(const std::string& name, std::uint64_t size) override;
    FileStatus sync(const std::string& name) override;
    FileStatus rename(const std::string& from, const std::string& to) override;
    FileStatus syncFolder() override;

private:
    int descriptor(const std::string& name, int flags);
    void close(const std::string& name);

    const std::string m_folder;
    std::map<std::string, int> m_descriptors;
    int m_lock = -1;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::FileStatus> {
    static constexpr std::array<std::string_view, 7> names { "done", "missing", "in-use", "no-space", "read-failed",
        "write-failed", "sync-failed" };
};
