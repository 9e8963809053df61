#include "roles/CommandLine.h"

#include "control/JournalReport.h"
#include "net/HttpClient.h"
#include "roles/EvacuateCommand.h"
#include "roles/ExitCode.h"
#include "roles/ExplainCommand.h"
#include "roles/NoteCommand.h"
#include "roles/PlaceCommand.h"
#include "roles/Process.h"
#include "settings/Settings.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

namespace yuccahook::roles {

namespace {

constexpr auto responseTimeout = std::chrono::seconds(10);

constexpr std::string_view helpText = R"(yuccahook - a layer-4 load balancer

  yuccahook balancer|agent|control|all --settings FILE
      Runs a role. SIGHUP, or a change of the file, reloads the control addresses.
      Example: yuccahook all --settings examples/all.json
  yuccahook check FILE
      Checks a settings file. Example: yuccahook check examples/all.json
  yuccahook note submit FILE --control IP:PORT,... [--dry-run]
      Submits a release note to the operator address of any control instance. Repeating it is safe.
      Example: yuccahook note submit examples/note-guatemala.json --control 127.0.0.1:7801,127.0.0.1:7802
  yuccahook note show N | list | status N --control IP:PORT,...
      Shows an accepted note, lists all of them, or shows on how many processes a note is in force.
  yuccahook evacuate DOMAIN [--end] | evacuate --control IP:PORT,...
      Keeps new flows of packet services away from a failure domain, or ends that; without DOMAIN, lists the
      evacuated domains. Any control instance takes the order. Repeating it is safe.
      Example: yuccahook evacuate coban --control 127.0.0.1:7801,127.0.0.1:7802
  yuccahook status --address IP:PORT
      Shows the status of any process, read from its operator address.
      Example: yuccahook status --address 127.0.0.1:7811
  yuccahook place --route IP:PORT [--caller IP:PORT] --address IP:PORT
      Shows where a balancer would send a new flow to a route's address now, and why, without sending anything.
      Example: yuccahook place --route 198.18.0.1:80 --caller 100.64.0.4:1098 --address 127.0.0.1:7811
  yuccahook explain CALLER LOG...
      Prints what the instances decided about the flow of a caller (IP:port), from their logs.
      Example: yuccahook explain 100.64.0.4:1098 balancer.log agent.log
  yuccahook journal check|show FOLDER
      Reads the journal of a stopped control instance, or a copy of a journal, without changing it.
      Example: yuccahook journal check data/control-1
  yuccahook --version

--json prints one JSON object instead of a table.
Exit codes: 0 success, 1 usage, 2 bad settings or note, 3 refused, 4 unreachable, 5 failed.
)";

struct Arguments {
    std::vector<std::string> words;
    std::string settings;
    std::string control;
    std::string address;
    std::string route;
    std::string caller;
    bool dryRun = false;
    bool end = false;
    bool json = false;
};

int reportFaults(const settings::Faults& faults, std::ostream& err)
{
    for (const auto& fault : faults)
        err << settings::describe(fault) << '\n';
    return code(ExitCode::BadSettings);
}

int runRole(settings::Role role, const Arguments& arguments, std::ostream& err, const Adapter* adapter)
{
    settings::Faults faults;
    const auto parsed = settings::loadSettings(arguments.settings, role, faults);
    if (!parsed)
        return reportFaults(faults, err);
    return runProcess(*parsed, role, arguments.settings, adapter);
}

int checkSettings(const std::string& path, std::ostream& out, std::ostream& err)
{
    settings::Faults faults;
    const auto text = settings::readFile(path, faults);
    const auto role = text ? settings::detectRole(*text, faults) : std::nullopt;
    if (!role || !settings::parseSettings(*text, *role, faults))
        return reportFaults(faults, err);
    out << path << ": good settings for " << kernel::nameOf(*role) << '\n';
    return code(ExitCode::Success);
}

int sendAndPrint(const std::string& address, const net::HttpRequest& request, std::ostream& out, std::ostream& err)
{
    const auto target = net::Address::parse(address);
    if (!target) {
        err << "--address: seen \"" << address << "\", expected IP:PORT\n";
        return code(ExitCode::Usage);
    }
    const auto response = net::sendHttpRequest(*target, request, responseTimeout);
    if (!response) {
        err << "no response from " << address << '\n';
        return code(ExitCode::Unreachable);
    }
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    out << (body.is_discarded() ? response->body : body.dump(2)) << '\n';
    return code(response->status < 300 ? ExitCode::Success : ExitCode::Refused);
}

int runNote(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    const NoteArguments note { { arguments.words.begin() + 1, arguments.words.end() }, arguments.control,
        arguments.dryRun, arguments.json };
    if (isNoteCommand(note.words))
        return runNoteCommand(note, out, err);
    err << helpText;
    return code(ExitCode::Usage);
}

int runJournal(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    const auto& words = arguments.words;
    if (words.size() != 3 || (words[1] != "check" && words[1] != "show")) {
        err << helpText;
        return code(ExitCode::Usage);
    }
    const auto report = control::inspectJournal(words[2], words[1] == "show");
    out << report.body.dump(2) << '\n';
    return code(report.intact ? ExitCode::Success : ExitCode::Failed);
}

int run(const Arguments& arguments, std::ostream& out, std::ostream& err, const Adapter* adapter)
{
    const auto& words = arguments.words;
    const std::string command = words.empty() ? "" : words.front();
    if (const auto role = kernel::valueOf<settings::Role>(command))
        return runRole(*role, arguments, err, adapter);
    if (command == "check" && words.size() == 2)
        return checkSettings(words[1], out, err);
    if (command == "note")
        return runNote(arguments, out, err);
    if (command == "evacuate" && words.size() <= 2)
        return runEvacuate({ words.size() == 2 ? std::optional(words[1]) : std::nullopt, arguments.control,
                               arguments.end, arguments.json },
            out, err);
    if (command == "journal")
        return runJournal(arguments, out, err);
    if (command == "explain" && words.size() > 2)
        return runExplain(words[1], { words.begin() + 2, words.end() }, out, err);
    if (command == "place" && words.size() == 1)
        return runPlace({ arguments.route, arguments.caller, arguments.address, arguments.json }, out, err);
    if (command == "status")
        return sendAndPrint(arguments.address, { "GET", "/status", "", "" }, out, err);
    err << helpText;
    return code(ExitCode::Usage);
}

} // namespace

int runCommandLine(
    int argumentCount, const char* const* arguments, std::ostream& out, std::ostream& err, const Adapter* adapter)
{
    cxxopts::Options options("yuccahook");
    options.add_options()("settings", "", cxxopts::value<std::string>()->default_value(""))(
        "control", "", cxxopts::value<std::string>()->default_value(""))(
        "address", "", cxxopts::value<std::string>()->default_value(""))(
        "route", "", cxxopts::value<std::string>()->default_value(""))(
        "caller", "", cxxopts::value<std::string>()->default_value(""))("dry-run", "")("end", "")("json", "")(
        "help", "")("version", "")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            out << helpText;
            return code(ExitCode::Success);
        }
        if (parsed.count("version") > 0) {
            out << "yuccahook " << YUCCAHOOK_VERSION << '\n';
            return code(ExitCode::Success);
        }
        Arguments read;
        if (parsed.count("words") > 0)
            read.words = parsed["words"].as<std::vector<std::string>>();
        read.settings = parsed["settings"].as<std::string>();
        read.control = parsed["control"].as<std::string>();
        read.address = parsed["address"].as<std::string>();
        read.end = parsed.count("end") > 0;
        read.route = parsed["route"].as<std::string>();
        read.caller = parsed["caller"].as<std::string>();
        read.dryRun = parsed.count("dry-run") > 0;
        read.json = parsed.count("json") > 0;
        return run(read, out, err, adapter);
    } catch (const cxxopts::exceptions::exception& exception) {
        err << exception.what() << "\n\n" << helpText;
        return code(ExitCode::Usage);
    }
}

} // namespace yuccahook::roles
