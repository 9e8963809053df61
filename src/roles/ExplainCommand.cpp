#include "roles/ExplainCommand.h"

#include "roles/ExitCode.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

namespace yuccahook::roles {

namespace {

/// A parsed line of a log file; `time` is in seconds.
struct LogLine {
    double time = 0;
    std::string instance;
    std::string event;
    nlohmann::json fields;
};

const std::set<std::string>& contextEvents()
{
    static const std::set<std::string> events { "membership", "control-contact", "control-contact-lost", "started",
        "draining", "backend-reported", "backend-left" };
    return events;
}

// Reads lines from the first brace on, because log collectors may put a prefix in front of the JSON object.
void readLines(std::istream& input, std::vector<LogLine>& lines, std::size_t& unreadableLines)
{
    for (std::string text; std::getline(input, text);) {
        const auto begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        auto fields = nlohmann::json::parse(text.substr(begin), nullptr, false);
        const bool isLine = fields.is_object() && fields.contains("time") && fields["time"].is_number()
            && fields.value("event", nlohmann::json()).is_string()
            && fields.value("instance", nlohmann::json()).is_string();
        if (!isLine) {
            ++unreadableLines;
            continue;
        }
        LogLine line { fields["time"], fields["instance"], fields["event"], {} };
        for (const char* parsed : { "time", "instance", "event", "level" })
            fields.erase(parsed);
        line.fields = std::move(fields);
        lines.push_back(std::move(line));
    }
}

void print(const LogLine& line, double startTime, std::ostream& out)
{
    constexpr double millisInSecond = 1000;
    out << static_cast<long long>((line.time - startTime) * millisInSecond) << " ms  " << line.instance << "  "
        << line.event << "  " << line.fields.dump() << '\n';
}

} // namespace

int runExplain(const std::string& caller, const std::vector<std::string>& files, std::ostream& out, std::ostream& err)
{
    std::vector<LogLine> lines;
    std::size_t unreadableLines = 0;
    for (const auto& name : files) {
        std::ifstream file(name);
        if (!file) {
            err << "log file \"" << name << "\" can't be read\n";
            return code(ExitCode::BadSettings);
        }
        readLines(file, lines, unreadableLines);
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const LogLine& one, const LogLine& other) { return one.time < other.time; });
    const auto isFlowDecision
        = [&caller](const LogLine& line) { return line.event == "flow" && line.fields.value("caller", "") == caller; };
    const auto first = std::find_if(lines.begin(), lines.end(), isFlowDecision);
    if (first == lines.end()) {
        err << "no line of caller " << caller << " in " << lines.size() << " lines (" << unreadableLines
            << " unreadable)\n";
        return code(ExitCode::Refused);
    }
    std::map<std::string, const LogLine*> unprintedContext; // the latest context event of each instance
    for (const auto& line : lines) {
        if (contextEvents().contains(line.event))
            unprintedContext[line.instance] = &line;
        if (!isFlowDecision(line))
            continue;
        if (const auto context = unprintedContext.extract(line.instance))
            print(*context.mapped(), first->time, out);
        print(line, first->time, out);
    }
    return code(ExitCode::Success);
}

} // namespace yuccahook::roles
