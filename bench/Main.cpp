#include "Report.h"
#include "Scenario.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace yuccahook::bench;

namespace {

constexpr int usageExitCode = 1;

int printHelp(std::ostream& out, const cxxopts::Options& known, int exitCode)
{
    out << known.help() << "\nScenarios, with options of their own:\n";
    for (const auto& [name, scenario] : scenarios())
        out << "  " << name << "\n      " << scenario.summary << "\n      " << scenario.options << '\n';
    return exitCode;
}

cxxopts::Options knownOptions()
{
    cxxopts::Options known("yuccahook-bench", "Measures yuccahook and a naive baseline.");
    known.custom_help("SCENARIO [--key value ...]");
    known.positional_help("");
    known.add_options()("seed", "of the first run", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "repeat", "runs, each with the next seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "one object on the last line")("report", "writes an HTML page", cxxopts::value<std::string>())(
        "help", "prints this")("scenario", "", cxxopts::value<std::string>()->default_value(""));
    known.parse_positional({ "scenario" });
    known.allow_unrecognised_options();
    return known;
}

// Reads the options of the scenario, which are pairs of a key and a value. Returns false if they are not.
bool parsePairs(const std::vector<std::string>& arguments, ScenarioOptions& options)
{
    for (std::size_t index = 0; index < arguments.size(); index += 2) {
        if (!arguments[index].starts_with("--") || index + 1 == arguments.size())
            return false;
        options.values[arguments[index].substr(2)] = arguments[index + 1];
    }
    return true;
}

std::vector<nlohmann::json> runRepeatedly(const Scenario& scenario, ScenarioOptions options, std::uint64_t repeats)
{
    std::vector<nlohmann::json> results;
    results.reserve(repeats);
    for (std::uint64_t run = 0; run < repeats; ++run, ++options.seed) {
        if (repeats > 1)
            std::cerr << "run " << run + 1 << " of " << repeats << ", seed " << options.seed << std::endl;
        results.push_back(scenario.run(options));
    }
    return results;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    auto known = knownOptions();
    std::optional<cxxopts::ParseResult> parsed;
    try {
        parsed = known.parse(argumentCount, arguments);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n';
        return printHelp(std::cerr, known, usageExitCode);
    }
    if (parsed->count("help") > 0)
        return printHelp(std::cout, known, 0);
    const auto name = (*parsed)["scenario"].as<std::string>();
    const auto found = scenarios().find(name);
    const auto repeats = (*parsed)["repeat"].as<std::uint64_t>();
    ScenarioOptions options;
    options.seed = (*parsed)["seed"].as<std::uint64_t>();
    if (found == scenarios().end() || repeats == 0 || !parsePairs(parsed->unmatched(), options))
        return printHelp(std::cerr, known, usageExitCode);
    nlohmann::json result = summarize(runRepeatedly(found->second, options, repeats));
    result["scenario"] = name;
    result["seed"] = options.seed;
    if (parsed->count("report") > 0) {
        std::ofstream report((*parsed)["report"].as<std::string>());
        report << toHtml(result, found->second.summary);
    }
    if (parsed->count("json") > 0)
        std::cout << result.dump() << std::endl;
    else
        std::cout << toTable(result);
    return 0;
}
