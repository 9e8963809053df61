#pragma once

#include "control/Note.h"
#include "flow/Membership.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccahook::control {

/// Asks for a note to be accepted.
struct SubmitNote {
    std::string text; ///< The note's JSON, checked again when it is applied.
};

/// Members that joined or changed, and members that left or whose lease ended.
struct UpdateMembers {
    std::vector<flow::Member> joined; ///< Without ids; one incarnation of an agent is one member.
    std::vector<std::uint32_t> draining;
    std::vector<std::uint32_t> removed;
};

/// Asks for a route table to take effect; one that is not newer than the table in force changes nothing.
struct PublishRoutes {
    flow::RouteTable table;
};

/// Changes nothing; what was committed before it is known once it is applied.
struct Barrier { };

/// One entry of the journal, as the state machine sees it.
using Command = std::variant<SubmitNote, UpdateMembers, PublishRoutes, Barrier>;

std::string encodeCommand(const Command& command);

/// Nothing when the bytes are not a command of this release.
std::optional<Command> decode(const std::string& bytes);

} // namespace yuccahook::control
