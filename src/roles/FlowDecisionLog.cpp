#include "roles/FlowDecisionLog.h"

#include "observe/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace yuccahook::roles {

namespace {

// Lines per second. At about 25 us a line, these limits cost 0.25 % and 0.5 % of a core.
constexpr std::uint32_t maximumOrdinaryLines = 100;
constexpr std::uint32_t maximumNotableLines = 200;

constexpr unsigned lowestCountedPriority = 7; // the counter of priority 7 also has the less urgent ones

std::string textOf(const flow::PacketEndpoint& endpoint) { return endpoint.address().text(); }

bool isNotable(flow::FlowVerdict verdict)
{
    using flow::FlowVerdict;
    return verdict == FlowVerdict::Refused || verdict == FlowVerdict::Reset || verdict == FlowVerdict::Searched
        || verdict == FlowVerdict::Dropped;
}

} // namespace

FlowDecisionLog::FlowDecisionLog(observe::Counters& counters)
    : m_counters(counters)
    , m_droppedLines(counters.counter("flow_lines_dropped_total"))
{
}

observe::Counter& FlowDecisionLog::counterOf(const flow::FlowDecision& decision)
{
    auto*& counter
        = m_decisionCounters[static_cast<std::size_t>(decision.verdict)][static_cast<std::size_t>(decision.reason)];
    if (!counter) {
        const std::string name = "packet_flows_" + std::string(kernel::nameOf(decision.verdict)) + "_total";
        counter = &m_counters.counter(name, "reason", kernel::nameOf(decision.reason));
    }
    return *counter;
}

void FlowDecisionLog::record(const flow::FlowDecision& decision, std::uint64_t nowMillis)
{
    counterOf(decision) += 1;
    if (decision.priority) {
        const auto priority = std::to_string(std::min<unsigned>(*decision.priority, lowestCountedPriority));
        m_counters.counter(
            "packet_flows_turned_away_priority_" + priority + "_total", "reason", kernel::nameOf(decision.reason))
            += 1;
    }
    if (nowMillis / 1000 != m_second) {
        m_second = nowMillis / 1000;
        m_ordinaryLines = 0;
        m_notableLines = 0;
    }
    const bool notable = isNotable(decision.verdict);
    std::uint32_t& lines = notable ? m_notableLines : m_ordinaryLines;
    if (++lines > (notable ? maximumNotableLines : maximumOrdinaryLines)) {
        m_droppedLines += 1;
        return;
    }
    nlohmann::json fields { { "caller", textOf(decision.flow.caller) }, { "route", textOf(decision.flow.route) },
        { "verdict", kernel::nameOf(decision.verdict) }, { "reason", kernel::nameOf(decision.reason) },
        { "revision", decision.revision }, { "busy", decision.busy }, { "slots", decision.slots },
        { "inputAgeMillis", decision.inputAgeMillis } };
    if (decision.peer.port != 0)
        fields["peer"] = textOf(decision.peer);
    if (decision.priority)
        fields["priority"] = *decision.priority;
    if (decision.preferred.caller.port != 0)
        fields["preferred"] = textOf(decision.preferred.caller);
    observe::log(notable ? observe::Level::Warn : observe::Level::Info, "flow", fields);
}

} // namespace yuccahook::roles
