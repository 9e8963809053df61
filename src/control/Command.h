#pragma once

#include "control/Note.h"
#include "flow/Membership.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace yuccahook::control {

/// Submits a release note.
struct SubmitNote {
    std::string text; ///< The note's JSON, validated again when it is applied.
};

/// Changes members: those that joined, those that started draining and those whose lease has ended.
struct UpdateMembers {
    std::vector<flow::Member> joined; ///< Without ids; one incarnation of an agent is one member.
    std::vector<std::uint32_t> draining; ///< Member ids.
    std::vector<std::uint32_t> removed; ///< Member ids.
};

/// Publishes a route table. A table that is not newer than the one in force changes nothing.
struct PublishRoutes {
    flow::RouteTable table;
};

/// Starts or ends the evacuation of a failure domain. Repeating it changes nothing.
struct SetEvacuation {
    std::string domain;
    bool active = true;
};

/// Changes nothing. Once it is applied, all commands that were committed before it are applied too.
struct Barrier { };

/// A command of the replicated state machine.
using Command = std::variant<SubmitNote, UpdateMembers, PublishRoutes, Barrier, SetEvacuation>;

/// A command as the log stores it.
struct EncodedCommand {
    std::string bytes;
    /// Whether a copy that is proposed while another one is not yet committed may share its entry, because the command
    /// has the same effect wherever it stands in the log.
    bool isRepeatable = false;
};

EncodedCommand encode(const Command& command);
std::string encodeCommand(const Command& command);

/// Returns nothing when the bytes are not a command that this release can read.
std::optional<Command> decode(const std::string& stored);

} // namespace yuccahook::control
