#include "Scenario.h"

#include <cstdlib>

namespace yuccahook::bench {

std::uint64_t ScenarioOptions::number(const std::string& key, std::uint64_t fallback) const
{
    const auto found = values.find(key);
    return found != values.end() ? std::strtoull(found->second.c_str(), nullptr, 10) : fallback;
}

double ScenarioOptions::real(const std::string& key, double fallback) const
{
    const auto found = values.find(key);
    return found != values.end() ? std::strtod(found->second.c_str(), nullptr) : fallback;
}

std::string ScenarioOptions::text(const std::string& key, const std::string& fallback) const
{
    const auto found = values.find(key);
    return found != values.end() ? found->second : fallback;
}

std::map<std::string, Scenario>& scenarios()
{
    static std::map<std::string, Scenario> registered;
    return registered;
}

ScenarioRegistration::ScenarioRegistration(Scenario scenario)
{
    const std::string name = scenario.name;
    scenarios().emplace(name, std::move(scenario));
}

} // namespace yuccahook::bench
