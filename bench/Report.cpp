#include "Report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <sstream>

namespace yuccahook::bench {

namespace {

constexpr std::array<std::string_view, 3> columns { "ours", "naive", "ideal" };
constexpr int figureWidth = 44;
constexpr int columnWidth = 28;
constexpr int significantDigits = 5;

std::string formatValue(const nlohmann::json& value)
{
    std::ostringstream out;
    out << std::setprecision(significantDigits);
    if (value.is_number())
        out << value.get<double>();
    else if (value.is_object() && value.contains("median"))
        out << formatValue(value["median"]) << " (" << formatValue(value["min"]) << " to " << formatValue(value["max"])
            << ')';
    else
        out << value.dump();
    return out.str();
}

/// The text of a figure in each column; empty where a column lacks the figure.
using Row = std::array<std::string, columns.size()>;

void collectRows(
    const nlohmann::json& value, const std::string& name, std::size_t column, std::map<std::string, Row>& rows)
{
    if (value.is_array())
        return;
    if (!value.is_object() || value.contains("median")) {
        rows[name][column] = formatValue(value);
        return;
    }
    for (const auto& part : value.items())
        collectRows(part.value(), name.empty() ? part.key() : name + ": " + part.key(), column, rows);
}

std::map<std::string, Row> rowsOf(const nlohmann::json& result)
{
    std::map<std::string, Row> rows;
    for (std::size_t column = 0; column < columns.size(); ++column) {
        if (const auto part = result.find(std::string(columns[column])); part != result.end())
            collectRows(*part, "", column, rows);
    }
    return rows;
}

nlohmann::json summarizeValues(const std::vector<nlohmann::json>& values)
{
    const auto& first = values.front();
    if (first.is_number()) {
        std::vector<double> sorted;
        sorted.reserve(values.size());
        for (const auto& value : values)
            sorted.push_back(value.get<double>());
        std::sort(sorted.begin(), sorted.end());
        return { { "min", sorted.front() }, { "median", sorted[sorted.size() / 2] }, { "max", sorted.back() } };
    }
    if (!first.is_object())
        return first;
    auto merged = nlohmann::json::object();
    for (const auto& part : first.items()) {
        std::vector<nlohmann::json> parts;
        parts.reserve(values.size());
        for (const auto& value : values) {
            if (value.contains(part.key()))
                parts.push_back(value[part.key()]);
        }
        merged[part.key()] = summarizeValues(parts);
    }
    return merged;
}

std::string escapeHtml(const std::string& text)
{
    std::string escaped;
    for (const char letter : text) {
        if (letter == '<')
            escaped += "&lt;";
        else if (letter == '&')
            escaped += "&amp;";
        else
            escaped += letter;
    }
    return escaped;
}

} // namespace

nlohmann::json summarize(const std::vector<nlohmann::json>& results)
{
    if (results.size() == 1)
        return results.front();
    auto summary = summarizeValues(results);
    summary["runs"] = results.size();
    return summary;
}

std::string toTable(const nlohmann::json& result)
{
    std::ostringstream out;
    out << result.value("scenario", "") << ", seed " << result.value("seed", 0) << "\n\n" << std::left;
    out << std::setw(figureWidth) << "";
    for (const auto column : columns)
        out << std::setw(columnWidth) << column;
    out << '\n';
    for (const auto& [name, row] : rowsOf(result)) {
        out << std::setw(figureWidth) << name;
        for (const auto& text : row)
            out << ' ' << std::setw(columnWidth - 1) << text;
        out << '\n';
    }
    return out.str();
}

std::string toHtml(const nlohmann::json& result, const std::string& summary)
{
    std::ostringstream out;
    const std::string name = escapeHtml(result.value("scenario", ""));
    out << "<!doctype html><meta charset=\"utf-8\"><title>yuccahook-bench " << name << "</title>\n"
        << "<style>body{font-family:sans-serif}td,th{padding:.2em 1em;text-align:right;border-bottom:1px solid #ccc}"
        << "td:first-child{text-align:left}</style>\n<h1>" << name << "</h1>\n<p>" << escapeHtml(summary) << "</p>\n"
        << "<p>Seed " << result.value("seed", 0) << ", runs " << result.value("runs", 1) << ".</p>\n<table><tr><th>";
    for (const auto column : columns)
        out << "<th>" << column;
    out << '\n';
    for (const auto& [figure, row] : rowsOf(result)) {
        out << "<tr><td>" << escapeHtml(figure);
        for (const auto& text : row)
            out << "<td>" << escapeHtml(text);
        out << '\n';
    }
    out << "</table>\n";
    return out.str();
}

} // namespace yuccahook::bench
