#pragma once

#include "control/Note.h"
#include "flow/Membership.h"

#include <nlohmann/json.hpp>

namespace yuccahook::control {

/// A service as a release note would write it.
nlohmann::json toJson(const flow::ServiceSpec& service);

/// What a note would change: an array of objects with `service`, `change` (added, changed, withdrawn) and, for a
/// change, `key`, `before` and `after`.
nlohmann::json difference(const flow::Membership& membership, const Note& note);

} // namespace yuccahook::control
