#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace yuccahook::bench {

/// Options of a run: the seed and the scenario's own `--key value` pairs.
struct ScenarioOptions {
    std::uint64_t seed = 1;
    std::map<std::string, std::string> values;

    // Each returns the value of an option, or `fallback` if it is not given. Text that is not a number reads as 0.
    std::uint64_t number(const std::string& key, std::uint64_t fallback) const;
    double real(const std::string& key, double fallback) const;
    std::string text(const std::string& key, const std::string& fallback) const;
};

/// A repeatable measurement. `run` returns an object with `ours`, `naive` and, where one exists, `ideal`, each an
/// object of figures. The name of a figure ends with its unit if it has one.
struct Scenario {
    std::string name;
    std::string summary;
    std::string options; ///< Shown by --help, such as "--targets N (default 7)".
    std::function<nlohmann::json(const ScenarioOptions&)> run;
};

/// The registered scenarios by name.
std::map<std::string, Scenario>& scenarios();

/// Registers a scenario during static initialization: `const ScenarioRegistration registration { ... };`
struct ScenarioRegistration {
    explicit ScenarioRegistration(Scenario scenario);
};

} // namespace yuccahook::bench
