#pragma once

#include "flow/FlowDecision.h"
#include "observe/Counters.h"

#include <array>
#include <cstdint>

namespace yuccahook::roles {

/// Counts decisions on flows and logs them, within a budget of lines a second. Belongs to one thread.
class FlowLog {
public:
    explicit FlowLog(observe::Counters& counters);

    void note(const flow::FlowDecision& decision, std::uint64_t nowMillis);

private:
    using Verdicts = kernel::EnumNames<flow::FlowVerdict>;
    using Reasons = kernel::EnumNames<flow::FlowReason>;

    observe::Counter& counterOf(const flow::FlowDecision& decision);

    observe::Counters& m_counters;
    observe::Counter& m_unlogged;
    std::array<std::array<observe::Counter*, Reasons::names.size()>, Verdicts::names.size()> m_byReason {};
    std::uint64_t m_second = 0;
    std::uint32_t m_ordinary = 0; // lines in this second
    std::uint32_t m_notable = 0;
};

} // namespace yuccahook::roles
