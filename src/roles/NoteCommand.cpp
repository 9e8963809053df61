#include "roles/NoteCommand.h"

#include "roles/ControlRequest.h"
#include "roles/ExitCode.h"
#include "settings/Settings.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace yuccahook::roles {

namespace {

using nlohmann::json;

constexpr int httpRefused = 400; ///< Statuses from this value on are refusals.

std::string text(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

void printOutcome(const json& body, std::ostream& out)
{
    out << "note " << body.value("number", 0) << ": " << body.value("status", "") << ", revision "
        << body.value("revision", 0) << '\n';
    if (body.value("status", "") == "number-taken")
        out << "  the number is taken by a note of " << body.value("acceptedAuthor", "") << '\n';
    for (const auto& fault : body.value("faults", json::array())) {
        out << "  " << text(fault["path"]) << ": " << text(fault["fault"]) << ", seen " << text(fault["seen"])
            << ", allowed: " << text(fault["allowed"]) << '\n';
    }
    for (const auto& change : body.value("difference", json::array())) {
        out << "  " << text(change["change"]) << ' ' << text(change["service"]);
        if (change.contains("key"))
            out << ' ' << text(change["key"]) << ": " << change["before"].dump() << " -> " << change["after"].dump();
        out << '\n';
    }
}

void printList(const json& body, std::ostream& out)
{
    out << std::left << std::setw(12) << "NUMBER" << std::setw(12) << "REVISION"
        << "AUTHOR\n";
    for (const auto& note : body.value("notes", json::array())) {
        out << std::setw(12) << text(note["number"]) << std::setw(12) << text(note["revision"]) << text(note["author"])
            << '\n';
    }
}

int printResponse(const std::optional<ControlResponse>& response, const NoteArguments& arguments, std::ostream& out,
    std::ostream& err, void (*print)(const json&, std::ostream&))
{
    if (!response) {
        err << "no control instance responded; a submitted note may have been accepted: submit the same file again\n";
        return code(ExitCode::Unreachable);
    }
    if (arguments.json || !response->body.is_object())
        out << response->body.dump() << '\n';
    else
        print(response->body, out);
    return code(response->status < httpRefused ? ExitCode::Success : ExitCode::Refused);
}

int submit(
    const NoteArguments& arguments, const std::vector<net::Address>& addresses, std::ostream& out, std::ostream& err)
{
    settings::Faults faults;
    const auto note = settings::readFile(arguments.words[1], faults);
    if (!note) {
        err << settings::describe(faults.front()) << '\n';
        return code(ExitCode::BadSettings);
    }
    const std::string query = arguments.dryRun ? "dry-run=1" : "";
    return printResponse(sendToAny(addresses, { "POST", "/notes", query, *note }), arguments, out, err, printOutcome);
}

int show(
    const NoteArguments& arguments, const std::vector<net::Address>& addresses, std::ostream& out, std::ostream& err)
{
    const auto print = [](const json& body, std::ostream& stream) { stream << body.dump(2) << '\n'; };
    return printResponse(
        sendToAny(addresses, { "GET", "/notes/" + arguments.words[1], "", "" }), arguments, out, err, print);
}

// Each process subscribes to one control instance, so all instances are queried and their responses merged.
int status(
    const NoteArguments& arguments, const std::vector<net::Address>& addresses, std::ostream& out, std::ostream& err)
{
    const auto found = sendToAny(addresses, { "GET", "/notes/" + arguments.words[1], "", "" });
    if (!found || found->status >= httpRefused)
        return printResponse(found, arguments, out, err, printOutcome);
    const std::uint64_t revision = found->body.value("revision", std::uint64_t { 0 });
    std::map<std::string, std::uint64_t> inForce;
    std::size_t unresponsive = 0;
    for (const auto& address : addresses) {
        const auto response = sendOnce(address, { "GET", "/notes", "", "" });
        if (!response || !response->body.is_object()) {
            ++unresponsive;
            continue;
        }
        for (const auto& subscriber : response->body["inForce"].items()) {
            auto& knownRevision = inForce[subscriber.key()];
            knownRevision = std::max(knownRevision, subscriber.value().get<std::uint64_t>());
        }
    }
    json lagging = json::object();
    for (const auto& [name, knownRevision] : inForce) {
        if (knownRevision < revision)
            lagging[name] = knownRevision;
    }
    const json body { { "number", found->body["number"] }, { "revision", revision },
        { "inForce", inForce.size() - lagging.size() }, { "lagging", lagging },
        { "silentControlInstances", unresponsive } };
    if (arguments.json) {
        out << body.dump() << '\n';
    } else {
        out << "note " << arguments.words[1] << ", revision " << revision << ": in force on "
            << inForce.size() - lagging.size() << " of " << inForce.size() << " processes\n";
        for (const auto& entry : lagging.items())
            out << "  lagging: " << entry.key() << " at revision " << entry.value() << '\n';
        if (unresponsive > 0)
            out << "  " << unresponsive << " control instances did not respond; their subscribers are not counted\n";
    }
    return code(lagging.empty() && unresponsive == 0 ? ExitCode::Success : ExitCode::Refused);
}

using CommandHandler = int (*)(const NoteArguments&, const std::vector<net::Address>&, std::ostream&, std::ostream&);

int list(
    const NoteArguments& arguments, const std::vector<net::Address>& addresses, std::ostream& out, std::ostream& err)
{
    return printResponse(sendToAny(addresses, { "GET", "/notes", "", "" }), arguments, out, err, printList);
}

/// A command and the number of its words, its name included.
struct Command {
    std::string_view name;
    std::size_t words;
    CommandHandler handler;
};

constexpr std::array<Command, 4> commands { Command { "submit", 2, submit }, Command { "show", 2, show },
    Command { "list", 1, list }, Command { "status", 2, status } };

const Command* findCommand(const std::vector<std::string>& words)
{
    const auto found = std::find_if(commands.begin(), commands.end(),
        [&words](const Command& command) { return words.size() == command.words && words.front() == command.name; });
    return found != commands.end() ? &*found : nullptr;
}

} // namespace

bool isNoteCommand(const std::vector<std::string>& words) { return findCommand(words) != nullptr; }

int runNoteCommand(const NoteArguments& arguments, std::ostream& out, std::ostream& err)
{
    const Command* command = findCommand(arguments.words);
    const auto addresses = parseControl(arguments.control, err);
    if (!command || !addresses)
        return code(ExitCode::Usage);
    return command->handler(arguments, *addresses, out, err);
}

} // namespace yuccahook::roles
