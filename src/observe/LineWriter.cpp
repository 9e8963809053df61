#include "observe/LineWriter.h"

#include <climits>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace yuccahook::observe {

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
{
    struct stat about { };
    const bool mayBlock = fstat(descriptor, &about) == 0 && (S_ISFIFO(about.st_mode) || S_ISSOCK(about.st_mode));
    if (mayBlock)
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

// A pipe takes a line of up to PIPE_BUF bytes whole or not at all.
bool LineWriter::tryWrite(const std::string& line) const
{
    return line.size() <= PIPE_BUF && ::write(m_descriptor, line.data(), line.size()) == ssize_t(line.size());
}

void LineWriter::write(std::string line)
{
    line.push_back('\n');
    const std::lock_guard lock(m_mutex);
    const bool tells = m_dropped > m_told;
    const std::string told
        = R"({"level":"warn","event":"log-lines-dropped","total":)" + std::to_string(m_dropped) + "}\n";
    if (tells && tryWrite(told))
        m_told = m_dropped;
    if (!tryWrite(line))
        ++m_dropped;
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace yuccahook::observe
