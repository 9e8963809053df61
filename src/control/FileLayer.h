#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace yuccahook::control {

/// How an operation on a file ended.
enum class FileStatus : std::uint8_t { Done, Missing, InUse, NoSpace, ReadFailed, WriteFailed, SyncFailed };

/// The operations on one data folder. What is written lasts only once file and folder are synced.
class FileLayer {
public:
    FileLayer() = default;
    FileLayer(const FileLayer&) = delete;
    FileLayer& operator=(const FileLayer&) = delete;
    virtual ~FileLayer() = default;

    virtual FileStatus read(const std::string& name, std::string& content) = 0;

    /// Makes an empty file or empties an existing one.
    virtual FileStatus create(const std::string& name) = 0;
    virtual FileStatus append(const std::string& name, std::string_view bytes) = 0;
    virtual FileStatus truncate(const std::string& name, std::uint64_t size) = 0;
    virtual FileStatus sync(const std::string& name) = 0;
    virtual FileStatus rename(const std::string& from, const std::string& to) = 0;
    virtual FileStatus syncFolder() = 0;
};

/// A folder of the file system, made when it is missing and locked against a second process.
class FolderFiles final : public FileLayer {
public:
    explicit FolderFiles(std::string folder);
    ~FolderFiles() override;

    /// `InUse` when another process has the folder.
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
    std::map<std::string, int> m_open;
    int m_lock = -1;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::FileStatus> {
    static constexpr std::array<std::string_view, 7> names { "done", "missing", "in-use", "no-space", "read-failed",
        "write-failed", "sync-failed" };
};
