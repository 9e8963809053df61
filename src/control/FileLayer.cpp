#include "control/FileLayer.h"

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace yuccahook::control {

namespace {

constexpr mode_t fileMode = 0640;
constexpr std::size_t readChunkBytes = 1 << 16;

FileStatus writeStatus() { return errno == ENOSPC || errno == EDQUOT ? FileStatus::NoSpace : FileStatus::WriteFailed; }

} // namespace

FolderFiles::FolderFiles(std::string folder)
    : m_folder(std::move(folder))
{
}

FolderFiles::~FolderFiles()
{
    for (const auto& [name, descriptor] : m_descriptors)
        ::close(descriptor);
    if (m_lock >= 0)
        ::close(m_lock);
}

FileStatus FolderFiles::lock()
{
    std::error_code ignored; // a failure shows when the lock file is opened
    std::filesystem::create_directories(m_folder, ignored);
    m_lock = ::open((m_folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (m_lock < 0)
        return FileStatus::WriteFailed;
    return ::flock(m_lock, LOCK_EX | LOCK_NB) == 0 ? FileStatus::Done : FileStatus::InUse;
}

int FolderFiles::descriptor(const std::string& name, int flags)
{
    const auto found = m_descriptors.find(name);
    if (found != m_descriptors.end())
        return found->second;
    const int opened = ::open((m_folder + "/" + name).c_str(), flags | O_CLOEXEC, fileMode);
    if (opened >= 0)
        m_descriptors[name] = opened;
    return opened;
}

void FolderFiles::close(const std::string& name)
{
    const auto found = m_descriptors.find(name);
    if (found == m_descriptors.end())
        return;
    ::close(found->second);
    m_descriptors.erase(found);
}

FileStatus FolderFiles::read(const std::string& name, std::string& content)
{
    const int file = ::open((m_folder + "/" + name).c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return errno == ENOENT ? FileStatus::Missing : FileStatus::ReadFailed;
    content.clear();
    std::string chunk(readChunkBytes, '\0');
    ssize_t count = 0;
    while ((count = ::read(file, chunk.data(), chunk.size())) > 0)
        content.append(chunk, 0, static_cast<std::size_t>(count));
    ::close(file);
    return count == 0 ? FileStatus::Done : FileStatus::ReadFailed;
}

FileStatus FolderFiles::create(const std::string& name)
{
    close(name);
    return descriptor(name, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND) >= 0 ? FileStatus::Done : writeStatus();
}

FileStatus FolderFiles::append(const std::string& name, std::string_view bytes)
{
    const int file = descriptor(name, O_WRONLY | O_APPEND);
    if (file < 0)
        return FileStatus::WriteFailed;
    while (!bytes.empty()) {
        const ssize_t written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return writeStatus();
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return FileStatus::Done;
}

FileStatus FolderFiles::truncate(const std::string& name, std::uint64_t size)
{
    const int file = descriptor(name, O_WRONLY | O_APPEND);
    const bool done = file >= 0 && ::ftruncate(file, static_cast<off_t>(size)) == 0;
    return done ? FileStatus::Done : FileStatus::WriteFailed;
}

FileStatus FolderFiles::sync(const std::string& name)
{
    const int file = descriptor(name, O_WRONLY | O_APPEND);
    return file >= 0 && ::fdatasync(file) == 0 ? FileStatus::Done : FileStatus::SyncFailed;
}

FileStatus FolderFiles::rename(const std::string& from, const std::string& to)
{
    close(from);
    close(to);
    const bool done = ::rename((m_folder + "/" + from).c_str(), (m_folder + "/" + to).c_str()) == 0;
    return done ? FileStatus::Done : writeStatus();
}

FileStatus FolderFiles::syncFolder()
{
    const int folder = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return FileStatus::SyncFailed;
    const bool done = ::fsync(folder) == 0;
    ::close(folder);
    return done ? FileStatus::Done : FileStatus::SyncFailed;
}

} // namespace yuccahook::control
