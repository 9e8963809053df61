#pragma once

#include "control/QuorumMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace yuccahook::control {

std::string encodeMessage(const QuorumMessage& message);
std::string encodeRecord(const JournalRecord& record);

/// Nothing when the bytes are not a message of this release.
std::optional<QuorumMessage> decodeMessage(std::string_view bytes);

/// Nothing when the bytes are not a record of this release.
std::optional<JournalRecord> decodeRecord(std::string_view bytes);

} // namespace yuccahook::control
