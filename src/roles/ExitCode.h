#pragma once

namespace yuccahook::roles {

/// Exit codes of the command line.
enum class ExitCode { Success = 0, Usage = 1, BadSettings = 2, Refused = 3, Unreachable = 4, Failed = 5 };

constexpr int code(ExitCode exitCode) { return static_cast<int>(exitCode); }

} // namespace yuccahook::roles
