#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace yuccahook::control {

/// What an operator sees of a journal.
struct JournalReport {
    bool intact = false;
    nlohmann::json body;
};

/// Reads the journal under a data folder without changing it; `withRecords` lists each frame.
JournalReport inspectJournal(const std::string& folder, bool withRecords);

} // namespace yuccahook::control
