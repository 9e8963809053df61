#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace yuccahook::control {

/// A report on a journal for operators.
struct JournalReport {
    bool intact = false;
    nlohmann::json body;
};

/// Reads the journal in a data folder without changing it. With `withRecords` the body lists the record of each frame.
JournalReport inspectJournal(const std::string& folder, bool withRecords);

} // namespace yuccahook::control
