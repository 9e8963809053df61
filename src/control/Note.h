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

/// A release note: the services that an operator adds, changes and withdraws in one step.
struct Note {
    std::uint64_t number = 0;
    std::string author;
    std::optional<std::uint64_t> basedOn; ///< When set, the note is accepted only at this revision.
    std::vector<flow::ServiceSpec> added; ///< Without ids.
    std::vector<nlohmann::json> changed; ///< Each has the service's name and the keys to change.
    std::vector<std::string> withdrawn;
    std::string content; ///< The whole note in canonical form. Two notes with the same content are the same note.
};

/// Parses a release note. Faults that can be found without the replicated state are added to `faults`; returns nothing
/// when there is one.
std::optional<Note> parseNote(std::string_view text, settings::Faults& faults);

/// Reads a service's JSON object into `spec`; `path` is the object's path in the document. The name is required, for a
/// new service also the protocol and address. Other keys keep the values of `spec` when absent.
void readService(const nlohmann::json& object, const std::string& path, bool isNew, flow::ServiceSpec& spec,
    settings::Faults& faults);

} // namespace yuccahook::control
