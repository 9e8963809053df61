#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yuccahook::bench {

/// One result for several runs of a scenario: each number becomes its `min`, `median` and `max`. One run stays as it
/// is.
nlohmann::json summarize(const std::vector<nlohmann::json>& results);

/// The figures of `ours`, `naive` and `ideal` beside each other, as text.
std::string toTable(const nlohmann::json& result);

/// The same as a page.
std::string toHtml(const nlohmann::json& result, const std::string& summary);

} // namespace yuccahook::bench
