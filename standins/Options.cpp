#include "Options.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace yuccahook::standins {

Options::Options(int argumentCount, const char* const* arguments)
{
    for (int index = 0; index + 1 < argumentCount; index += 2)
        m_values.emplace(arguments[index], arguments[index + 1]);
}

std::string Options::text(const std::string& key, const std::string& fallback) const
{
    const auto found = m_values.find("--" + key);
    return found != m_values.end() ? found->second : fallback;
}

std::uint64_t Options::number(const std::string& key, std::uint64_t fallback) const
{
    const std::string value = text(key);
    return value.empty() ? fallback : std::strtoull(value.c_str(), nullptr, 10);
}

std::vector<std::string> Options::all(const std::string& key) const
{
    std::vector<std::string> values;
    const auto range = m_values.equal_range("--" + key);
    for (auto value = range.first; value != range.second; ++value)
        values.push_back(value->second);
    return values;
}

net::Address Options::address(const std::string& key) const { return addressOrExit(text(key)); }

net::Address addressOrExit(const std::string& text)
{
    if (const auto address = net::Address::parse(text))
        return *address;
    std::cerr << "invalid address \"" << text << "\": expected IP:PORT\n";
    std::exit(1);
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

} // namespace yuccahook::standins
