#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yuccahook::bench {

/// Merges the results of several runs of a scenario: each number becomes an object with `min`, `median` and `max`. A
/// single result is returned unchanged. `results` must not be empty.
nlohmann::json summarize(const std::vector<nlohmann::json>& results);

/// Formats the figures of `ours`, `naive` and `ideal` as a text table with a column for each.
std::string toTable(const nlohmann::json& result);

/// Formats the same table as an HTML page.
std::string toHtml(const nlohmann::json& result, const std::string& summary);

} // namespace yuccahook::bench
