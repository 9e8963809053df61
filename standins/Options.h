#pragma once

#include "net/Address.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccahook::standins {

/// The options of a stand-in: `--key value` pairs, a key may be given more than once.
class Options {
public:
    Options(int argumentCount, const char* const* arguments);

    std::string text(const std::string& key, const std::string& fallback = "") const;
    std::uint64_t number(const std::string& key, std::uint64_t fallback) const;
    std::vector<std::string> all(const std::string& key) const;

    /// Ends the process with a message when the address is missing or malformed.
    net::Address address(const std::string& key) const;

private:
    std::multimap<std::string, std::string> m_values;
};

/// Reads an address or ends the process with a message.
net::Address addressOrExit(const std::string& text);

/// The parts of a list separated by `separator`.
std::vector<std::string> split(const std::string& text, char separator);

} // namespace yuccahook::standins
