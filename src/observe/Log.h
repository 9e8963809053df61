#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace yuccahook::observe {

/// Severity of a log event, in rising order.
enum class Level { Debug, Info, Warn, Error };

/// Makes `log` write events of `level` and above to standard output, one JSON object a line, with the instance's name.
/// An unknown level counts as "info". Not thread-safe: call it before other threads log.
void setUpLog(std::string_view instance, std::string_view level);

/// Writes one event, from any thread, without blocking on a slow reader; see LineWriter. `event` is a stable name such
/// as "member-joined". `fields` is a JSON object whose keys are added to the line; invalid UTF-8 in it is replaced.
void log(Level level, std::string_view event, const nlohmann::json& fields);
void log(Level level, std::string_view event);

} // namespace yuccahook::observe
