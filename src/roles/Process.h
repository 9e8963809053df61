#pragma once

#include "roles/Adapter.h"
#include "settings/Settings.h"

#include <string>

namespace yuccahook::roles {

/// Runs a role until a signal ends it, and reloads the settings file at `path` when it changes; returns the exit code.
int runProcess(
    const settings::Settings& settings, settings::Role role, const std::string& path, const Adapter* adapter);

} // namespace yuccahook::roles
