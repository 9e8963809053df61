#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace yuccahook::roles {

/// Prints the story of one flow from log files: what each instance decided on the packets of `caller` (IP:port), in
/// order of time, each after the last that the instance heard of control. Returns the exit code.
int runExplain(const std::string& caller, const std::vector<std::string>& files, std::ostream& out, std::ostream& err);

} // namespace yuccahook::roles
