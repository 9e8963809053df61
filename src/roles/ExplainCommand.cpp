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

/// A line of a log.
struct LogLine {
    double time = 0;
    std::string instance;
    std::string event;
    nlohmann::json fields;
};

const std::set<std::string>& backgroundEvents()
{
    static const std::set<std::string> events { "membership", "control-contact", "control-contact-lost", "started",
        "draining", "backend-reported", "backend-left" };
    return events;
}

// Collectors may put a prefix in front of a line.
void readLines(std::istream& input, std::vector<LogLine>& lines, std::size_t& unreadable)
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
            ++unreadable;
            continue;
        }
        LogLine line { fields["time"], fields["instance"], fields["event"], {} };
        for (const char* known : { "time", "instance", "event", "level" })
            fields.erase(known);
        line.fields = std::move(fields);
        lines.push_back(std::move(line));
    }
}

void print(const LogLine& line, double start, std::ostream& out)
{
    constexpr double millisInSecond = 1000;
    out << static_cast<long long>((line.time - start) * millisInSecond) << " ms  " << line.instance << "  "
        << line.event << "  " << line.fields.dump() << '\n';
}

} // namespace

int runExplain(const std::string& caller, const std::vector<std::string>& files, std::ostream& out, std::ostream& err)
{
    std::vector<LogLine> lines;
    std::size_t unreadable = 0;
    for (const auto& name : files) {
        std::ifstream file(name);
        if (!file) {
            err << "log file \"" << name << "\" can't be read\n";
            return code(ExitCode::BadSettings);
        }
        readLines(file, lines, unreadable);
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const LogLine& one, const LogLine& other) { return one.time < other.time; });
    const auto isOfFlow
        = [&caller](const LogLine& line) { return line.event == "flow" && line.fields.value("caller", "") == caller; };
    const auto first = std::find_if(lines.begin(), lines.end(), isOfFlow);
    if (first == lines.end()) {
        err << "no line of caller " << caller << " in " << lines.size() << " lines (" << unreadable << " unreadable)\n";
        return code(ExitCode::Refused);
    }
    std::map<std::string, const LogLine*> background; // the last of each instance, until it is printed
    for (const auto& line : lines) {
        if (backgroundEvents().contains(line.event))
            background[line.instance] = &line;
        if (!isOfFlow(line))
            continue;
        if (const auto known = background.extract(line.instance))
            print(*known.mapped(), first->time, out);
        print(line, first->time, out);
    }
    return code(ExitCode::Success);
}

} // namespace yuccahook::roles
