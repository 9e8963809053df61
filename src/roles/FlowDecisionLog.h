#pragma once

#include "flow/FlowDecision.h"
#include "observe/Counters.h"

#include <array>
#include <cstdint>

namespace yuccahook::roles {

/// Counts decisions about flows and logs them, with a limit on the lines per second. Not thread-safe.
class FlowDecisionLog {
public:
    explicit FlowDecisionLog(observe::Counters& counters);

    /// Counts the decision, and logs it unless the limit of the current second is reached.
    void record(const flow::FlowDecision& decision, std::uint64_t nowMillis);

private:
    using Verdicts = kernel::EnumNames<flow::FlowVerdict>;
    using Reasons = kernel::EnumNames<flow::FlowReason>;

    observe::Counter& counterOf(const flow::FlowDecision& decision);

    observe::Counters& m_counters;
    observe::Counter& m_droppedLines;
    std::array<std::array<observe::Counter*, Reasons::names.size()>, Verdicts::names.size()> m_decisionCounters {};
    std::uint64_t m_second = 0;
    std::uint32_t m_ordinaryLines = 0; // in m_second, as is m_notableLines
    std::uint32_t m_notableLines = 0;
};

} // namespace yuccahook::roles
