#pragma once

#include "roles/Adapter.h"

#include <iosfwd>

namespace yuccahook::roles {

/// Runs one command line and returns its exit code (ExitCode). Without an adapter, processes that serve packet services
/// fail to start.
int runCommandLine(int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& err,
    const Adapter* adapter = nullptr);

} // namespace yuccahook::roles
