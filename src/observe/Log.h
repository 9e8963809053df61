#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace yuccahook::observe {

/// Severity of a log event, mildest first.
enum class Level { Debug, Info, Warn, Error };

/// Sends log events of `level` and above to standard output, one JSON object a line, with the instance's name. Never
/// waits for a slow reader; see LineWriter.
void setUpLog(std::string_view instance, std::string_view level);

/// Writes one event. `event` is a stable name such as "member-joined"; `fields` is a JSON object.
void log(Level level, std::string_view event, const nlohmann::json& fields);
void log(Level level, std::string_view event);

} // namespace yuccahook::observe
