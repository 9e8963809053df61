#include "Scenario.h"

#include <iostream>

using namespace yuccahook::bench;

namespace {

int printHelp(std::ostream& out, int exitCode)
{
    out << "yuccahook-bench SCENARIO [--seed N] [--json] [--key value ...]\n\n";
    for (const auto& [name, scenario] : scenarios())
        out << "  " << name << "\n      " << scenario.summary << "\n      " << scenario.options << '\n';
    return exitCode;
}

void printTable(const nlohmann::json& result)
{
    for (const auto& part : result.items()) {
        if (!part.value().is_object()) {
            std::cout << part.key() << ": " << part.value() << '\n';
            continue;
        }
        std::cout << part.key() << '\n';
        for (const auto& figure : part.value().items())
            std::cout << "  " << figure.key() << ": " << figure.value() << '\n';
    }
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 2)
        return printHelp(std::cerr, 1);
    const std::string name = arguments[1];
    if (name == "--help")
        return printHelp(std::cout, 0);
    const auto found = scenarios().find(name);
    if (found == scenarios().end())
        return printHelp(std::cerr, 1);
    ScenarioOptions options;
    bool json = false;
    for (int index = 2; index < argumentCount; ++index) {
        const std::string key = arguments[index];
        if (key == "--json")
            json = true;
        else if (key == "--seed" && index + 1 < argumentCount)
            options.seed = std::stoull(arguments[++index]);
        else if (key.starts_with("--") && index + 1 < argumentCount)
            options.values[key.substr(2)] = arguments[++index];
        else
            return printHelp(std::cerr, 1);
    }
    nlohmann::json result = found->second.run(options);
    result["scenario"] = name;
    result["seed"] = options.seed;
    if (json)
        std::cout << result.dump() << std::endl;
    else
        printTable(result);
    return 0;
}
