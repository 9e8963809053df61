#include "Record.h"

#include <chrono>

namespace yuccahook::standins {

Record::Record(const std::string& path)
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void Record::write(nlohmann::json event)
{
    if (!m_file.is_open())
        return;
    event["at"] = wallSeconds();
    m_file << event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
}

double wallSeconds()
{
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace yuccahook::standins
