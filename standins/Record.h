#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace yuccahook::standins {

/// A history of what one stand-in saw: a JSON object a line with the wall time `at`, written through at once so that
/// it outlives a killed process. Without a path nothing is kept.
class Record {
public:
    explicit Record(const std::string& path);

    void write(nlohmann::json event);

private:
    std::ofstream m_file;
};

/// Seconds since the epoch, as other processes of the machine see them.
double wallSeconds();

} // namespace yuccahook::standins
