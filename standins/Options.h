#pragma once

#include "net/Address.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccahook::standins {

/// Command-line options as `--key value` pairs. A key may be given more than once.
class Options {
public:
    Options(int argumentCount, const char* const* arguments);

    /// The value of a key, or `fallback` when the key is missing.
    std::string text(const std::string& key, const std::string& fallback = "") const;
    /// The value of a key as a decimal number, or `fallback` when it is missing or empty. Text that is not a number is
    /// 0.
    std::uint64_t number(const std::string& key, std::uint64_t fallback) const;
    /// Every value of a key, in the order given.
    std::vector<std::string> all(const std::string& key) const;

    /// The address that a key gives. Exits with 1 and a message when it is missing or malformed.
    net::Address address(const std::string& key) const;

private:
    std::multimap<std::string, std::string> m_values;
};

/// Parses IP:PORT. Exits with 1 and a message when the text is malformed.
net::Address addressOrExit(const std::string& text);

/// The parts of a text between separators.
std::vector<std::string> split(const std::string& text, char separator);

} // namespace yuccahook::standins
