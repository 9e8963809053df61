#pragma once

#include "control/Command.h"

#include <cstdint>
#include <functional>
#include <string>

namespace yuccahook::control {

/// Why a command was not committed, or that it was.
enum class ProposeStatus { Committed, NotLeader, NoQuorum, StorageFailed, Overloaded };

/// The replicated log of commands. Lives on the control thread.
class CommandLog {
public:
    /// Called once for a proposal; only `Committed` promises that the command lasts. After another status it may
    /// still be committed later, so a proposer sends it again.
    using Done = std::function<void(ProposeStatus)>;

    CommandLog() = default;
    CommandLog(const CommandLog&) = delete;
    CommandLog& operator=(const CommandLog&) = delete;
    virtual ~CommandLog() = default;

    /// Replicates and syncs a command; committed commands are applied to the state before `done` is called.
    virtual void propose(const Command& command, Done done) = 0;

    /// Whether this instance leads and has heard from a quorum recently.
    virtual bool leads() const = 0;

    /// Whether this instance knows the state of a quorum that is not older than a few seconds.
    virtual bool current() const = 0;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::ProposeStatus> {
    static constexpr std::array<std::string_view, 5> names { "committed", "not-leader", "no-quorum", "storage-failed",
        "overloaded" };
};
