#pragma once

#include "control/Note.h"
#include "flow/Membership.h"

#include <nlohmann/json.hpp>

namespace yuccahook::control {

/// A service as the JSON object of a release note.
nlohmann::json toJson(const flow::ServiceSpec& service);

/// The changes that a release note would make: an array of objects with `service`, `change` (added, changed, withdrawn)
/// and, for a changed service, `key`, `before` and `after`. An added service has `after` only.
nlohmann::json noteDifference(const flow::Membership& membership, const Note& note);

} // namespace yuccahook::control
