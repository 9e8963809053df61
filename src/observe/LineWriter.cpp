#include "observe/LineWriter.h"

#include <climits>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace yuccahook::observe {

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
{
    struct stat status { };
    const bool mayBlock = fstat(descriptor, &status) == 0 && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
    if (mayBlock)
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

// A write of at most PIPE_BUF bytes to a pipe is atomic: it writes the whole line or nothing.
bool LineWriter::tryWrite(const std::string& line) const
{
    return line.size() <= PIPE_BUF && ::write(m_descriptor, line.data(), line.size()) == ssize_t(line.size());
}

void LineWriter::write(std::string line)
{
    line.push_back('\n');
    const std::lock_guard lock(m_mutex);
    const bool hasUnreported = m_dropped > m_reported;
    const std::string report
        = R"({"level":"warn","event":"log-lines-dropped","total":)" + std::to_string(m_dropped) + "}\n";
    if (hasUnreported && tryWrite(report))
        m_reported = m_dropped;
    if (!tryWrite(line))
        ++m_dropped;
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace yuccahook::observe
