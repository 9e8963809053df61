#include "control/EvacuationLog.h"

#include "control/EvacuationOrder.h"
#include "observe/Log.h"

#include <nlohmann/json.hpp>

namespace yuccahook::control {

EvacuationLog::EvacuationLog(std::string_view component, observe::Counters& counters)
    : m_component(component)
    , m_gauge(counters.counter("evacuated_domains", "component", component))
{
}

void EvacuationLog::update(const flow::Membership& membership)
{
    const std::lock_guard lock(m_mutex);
    if (m_evacuated == membership.evacuated)
        return;
    observe::log(observe::Level::Warn, "evacuations-changed",
        { { "component", m_component }, { "started", addedDomains(m_evacuated, membership.evacuated) },
            { "ended", addedDomains(membership.evacuated, m_evacuated) }, { "evacuated", membership.evacuated },
            { "revision", membership.revision } });
    m_evacuated = membership.evacuated;
    m_gauge = m_evacuated.size();
}

std::vector<std::string> EvacuationLog::evacuated() const
{
    const std::lock_guard lock(m_mutex);
    return m_evacuated;
}

} // namespace yuccahook::control
