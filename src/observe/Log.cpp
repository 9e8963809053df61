#include "observe/Log.h"

#include "observe/LineWriter.h"

#include <array>
#include <chrono>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace yuccahook::observe {

namespace {

std::string instanceName;

constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warn", "error" };

log4cxx::LevelPtr log4cxxLevel(std::size_t index)
{
    switch (index) {
    case 0:
        return log4cxx::Level::getDebug();
    case 1:
        return log4cxx::Level::getInfo();
    case 2:
        return log4cxx::Level::getWarn();
    default:
        return log4cxx::Level::getError();
    }
}

// The index of a level name; that of "info" for an unknown name.
std::size_t levelIndex(std::string_view name)
{
    for (std::size_t index = 0; index < levelNames.size(); ++index) {
        if (levelNames[index] == name)
            return index;
    }
    return static_cast<std::size_t>(Level::Info);
}

LineWriter& standardOutput()
{
    static LineWriter writer(STDOUT_FILENO);
    return writer;
}

double secondsSinceEpoch()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double>(now).count();
}

} // namespace

void setUpLog(std::string_view instance, std::string_view level)
{
    instanceName = instance;
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->setLevel(log4cxxLevel(levelIndex(level)));
}

void log(Level level, std::string_view event, const nlohmann::json& fields)
{
    const auto index = static_cast<std::size_t>(level);
    const auto root = log4cxx::Logger::getRootLogger();
    if (!root->isEnabledFor(log4cxxLevel(index)))
        return;
    nlohmann::ordered_json line { { "time", secondsSinceEpoch() }, { "level", levelNames[index] },
        { "instance", instanceName }, { "event", event } };
    for (const auto& field : fields.items())
        line[field.key()] = field.value();
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    standardOutput().write(text);
}

void log(Level level, std::string_view event) { log(level, event, nlohmann::json::object()); }

} // namespace yuccahook::observe
