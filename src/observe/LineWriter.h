#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace yuccahook::observe {

/// Writes lines to a file descriptor without blocking on a slow reader. A line that can't be written at once, or is
/// longer than PIPE_BUF bytes with its newline, is dropped and counted. The next line that can be written is preceded
/// by one with the total number dropped. Thread-safe.
class LineWriter {
public:
    /// Makes a pipe or socket non-blocking. The descriptor stays open after this object is destroyed.
    explicit LineWriter(int descriptor);

    /// Writes a line, given without its newline.
    void write(std::string line);

    /// Number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    bool tryWrite(const std::string& line) const;

    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0; // value of m_dropped in the last report
};

} // namespace yuccahook::observe
