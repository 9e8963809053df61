#pragma once

#include "flow/Membership.h"
#include "observe/Counters.h"

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::control {

/// Reports the evacuated failure domains as they change at one component of a process: a log line at each change, the
/// gauge `evacuated_domains`, and the list for the status. Thread-safe.
class EvacuationLog {
public:
    /// `component` tells in log lines where the change is in force.
    EvacuationLog(std::string_view component, observe::Counters& counters);

    /// Call with each membership, in the order of their revisions.
    void update(const flow::Membership& membership);

    std::vector<std::string> evacuated() const;

private:
    const std::string m_component;
    observe::Counter& m_gauge;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_evacuated;
};

} // namespace yuccahook::control
