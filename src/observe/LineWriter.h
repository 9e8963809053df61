#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace yuccahook::observe {

/// Writes lines to a descriptor without ever waiting for its reader. A line that finds no room is dropped and counted,
/// and the next one that does is preceded by a line that says how many were.
class LineWriter {
public:
    explicit LineWriter(int descriptor);

    void write(std::string line);

    /// Lines dropped so far.
    std::uint64_t dropped() const;

private:
    bool tryWrite(const std::string& line) const;

    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_told = 0; // of those dropped
};

} // namespace yuccahook::observe
