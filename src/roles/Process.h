#pragma once

#include "roles/Adapter.h"
#include "settings/Settings.h"

#include <string>

namespace yuccahook::roles {

/// Runs a role until SIGTERM or SIGINT, and returns the exit code (ExitCode). Reloads the control addresses from the
/// settings file at `path` on SIGHUP or when the file changes.
int runProcess(
    const settings::Settings& settings, settings::Role role, const std::string& path, const Adapter* adapter);

} // namespace yuccahook::roles
