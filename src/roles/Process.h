#pragma once

#include "settings/Settings.h"

namespace yuccahook::roles {

/// Runs a role until a signal asks it to stop. SIGTERM and SIGINT begin a planned stop, a second one hastens it.
/// Returns the process's exit code.
int runProcess(const settings::Settings& settings, settings::Role role);

} // namespace yuccahook::roles
