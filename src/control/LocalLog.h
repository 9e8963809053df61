#pragma once

#include "control/ClusterState.h"
#include "control/CommandLog.h"

namespace yuccahook::control {

/// A log of one instance that keeps nothing: commands are applied at once.
class LocalLog final : public CommandLog {
public:
    explicit LocalLog(ClusterState& state)
        : m_state(state)
    {
    }

    void propose(const Command& command, Done done) override
    {
        m_state.apply(command);
        done(ProposeStatus::Committed);
    }

    bool leads() const override { return true; }
    bool current() const override { return true; }

private:
    ClusterState& m_state;
};

} // namespace yuccahook::control
