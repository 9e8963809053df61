#pragma once

#include "control/QuorumMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace yuccahook::control {

std::string encodeMessage(const QuorumMessage& message);
std::string encodeRecord(const JournalRecord& record);

/// Returns nothing when the bytes are not a message that this release can read.
std::optional<QuorumMessage> decodeMessage(std::string_view bytes);

/// Returns nothing when the bytes are not a record that this release can read.
std::optional<JournalRecord> decodeRecord(std::string_view bytes);

} // namespace yuccahook::control
