#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace yuccahook::standins {

/// Appends events to a file as JSON lines. Each event gets its wall time as `at` and is flushed at once, so that the
/// file is complete when the process is killed. With an empty path nothing is written.
class Record {
public:
    explicit Record(const std::string& path);

    void write(nlohmann::json event);

private:
    std::ofstream m_file;
};

/// Seconds since the Unix epoch by the system clock, which all processes of the machine share.
double wallSeconds();

} // namespace yuccahook::standins
