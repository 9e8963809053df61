#pragma once

#include "flow/Membership.h"
#include "settings/Fault.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::control {

/// A release note: what an operator adds, changes and withdraws in one step.
struct Note {
    std::uint64_t number = 0;
    std::string author;
    std::optional<std::uint64_t> basedOn; ///< The revision it must meet, when the author asks for that.
    std::vector<flow::ServiceSpec> added; ///< Without ids.
    std::vector<nlohmann::json> changed; ///< Each names its service and holds the keys to change.
    std::vector<std::string> withdrawn;
    std::string content; ///< The whole note in its canonical form; two notes are the same when this is.
};

/// Reads a note; faults that show without the state are added to `faults`, and nothing is returned when there is one.
std::optional<Note> parseNote(std::string_view text, settings::Faults& faults);

/// Reads the keys of a service into `spec`; `path` is that of the object. The name is required, other keys keep the
/// values of `spec` when absent.
void readService(const nlohmann::json& object, const std::string& path, bool isNew, flow::ServiceSpec& spec,
    settings::Faults& faults);

} // namespace yuccahook::control
