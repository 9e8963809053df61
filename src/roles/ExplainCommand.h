#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace yuccahook::roles {

/// Prints what each instance decided about the packets of `caller` (IP:port), from log files and in order of time. The
/// latest event of an instance about its state, such as a membership, precedes the decision that followed it. Returns
/// the exit code (ExitCode): BadSettings when a file cannot be read, Refused when no line names the caller.
int runExplain(const std::string& caller, const std::vector<std::string>& files, std::ostream& out, std::ostream& err);

} // namespace yuccahook::roles
