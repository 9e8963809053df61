#pragma once

#include "control/Command.h"

#include <cstdint>
#include <functional>
#include <string>

namespace yuccahook::control {

/// The result of a proposal.
enum class ProposeStatus { Committed, NotLeader, NoQuorum, StorageFailed, Overloaded };

/// The replicated log of commands. Lives on the control thread.
class CommandLog {
public:
    /// Called once for each proposal. Only `Committed` guarantees that the command is kept. After another status the
    /// command may still be committed later, so a proposer sends it again.
    using Done = std::function<void(ProposeStatus)>;

    CommandLog() = default;
    CommandLog(const CommandLog&) = delete;
    CommandLog& operator=(const CommandLog&) = delete;
    virtual ~CommandLog() = default;

    /// Replicates a command and makes it durable. A committed command is applied to the state before `done` is called.
    virtual void propose(const Command& command, Done done) = 0;

    /// Whether this instance is the leader and has recent replies of a quorum.
    virtual bool isActiveLeader() const = 0;

    /// Whether the state here is at most a few seconds older than that of a quorum.
    virtual bool isCurrent() const = 0;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::ProposeStatus> {
    static constexpr std::array<std::string_view, 5> names { "committed", "not-leader", "no-quorum", "storage-failed",
        "overloaded" };
};
