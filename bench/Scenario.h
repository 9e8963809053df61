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

    std::uint64_t number(const std::string& key, std::uint64_t fallback) const;
    double real(const std::string& key, double fallback) const;
    std::string text(const std::string& key, const std::string& fallback) const;
};

/// A measurement that anyone can run again. `run` returns an object with `ours`, `naive` and, where one exists,
/// `ideal`, each an object of figures; a name ends with its unit where it has one.
struct Scenario {
    std::string name;
    std::string summary;
    std::string options; ///< For --help, as "--targets N (default 7)".
    std::function<nlohmann::json(const ScenarioOptions&)> run;
};

/// The scenarios of the program by name. Each registers itself: `const ScenarioRegistration registration { ... };`
std::map<std::string, Scenario>& scenarios();

struct ScenarioRegistration {
    explicit ScenarioRegistration(Scenario scenario);
};

} // namespace yuccahook::bench
