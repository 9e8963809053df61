#include "observe/Counters.h"

namespace yuccahook::observe {

Counter& Counters::counter(std::string_view name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_byName.find(name);
    if (found != m_byName.end())
        return *found->second;
    Counter& created = m_counters.emplace_back(0);
    m_byName.emplace(name, &created);
    return created;
}

Counter& Counters::counter(std::string_view name, std::string_view label, std::string_view value)
{
    std::string fullName(name);
    fullName.append("{").append(label).append("=\"").append(value).append("\"}");
    return counter(fullName);
}

std::string Counters::prometheusText() const
{
    std::string text;
    for (const auto& [name, value] : values())
        text.append("yuccahook_").append(name).append(" ").append(std::to_string(value)).append("\n");
    return text;
}

std::map<std::string, std::uint64_t> Counters::values() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::uint64_t> values;
    for (const auto& [name, counter] : m_byName)
        values.emplace(name, counter->load(std::memory_order_relaxed));
    return values;
}

} // namespace yuccahook::observe
