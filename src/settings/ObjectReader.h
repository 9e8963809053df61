#pragma once

#include "kernel/EnumNames.h"
#include "net/Address.h"
#include "settings/Fault.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace yuccahook::settings {

/// Reads a JSON object into fields and collects every fault with its path. Keys that no call asked for are faults
/// of `finish`.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& object, std::string path, Faults& faults);

    bool has(std::string_view key) const;

    /// The value of a key, or null without a fault.
    const nlohmann::json* find(std::string_view key);

    void text(std::string_view key, std::string& field, bool required = false);
    void number(std::string_view key, std::uint64_t& field, std::uint64_t minimum, std::uint64_t maximum,
        bool required = false);
    void flag(std::string_view key, bool& field);

    /// A time in seconds, whole or not, as milliseconds.
    void seconds(std::string_view key, std::uint32_t& millis, std::uint32_t maximumMillis);
    void address(std::string_view key, net::Address& field, bool required = false);
    void addresses(std::string_view key, std::vector<net::Address>& field, bool required = false);
    void textArray(std::string_view key, std::vector<std::string>& field);

    /// A number of any unsigned type.
    template <typename Number>
    void integer(
        std::string_view key, Number& field, std::uint64_t minimum, std::uint64_t maximum, bool required = false)
    {
        std::uint64_t value = field;
        number(key, value, minimum, maximum, required);
        field = static_cast<Number>(value);
    }

    /// One of an enumeration's names.
    template <typename Enum> void choice(std::string_view key, Enum& field, bool required = false)
    {
        std::string chosen(kernel::nameOf(field));
        text(key, chosen, required);
        if (const auto value = kernel::valueOf<Enum>(chosen)) {
            field = *value;
            return;
        }
        std::string allowed;
        for (const auto& name : kernel::EnumNames<Enum>::names)
            allowed.append(allowed.empty() ? "" : ", ").append(name);
        addFault(FaultKind::OutOfRange, key, '"' + chosen + '"', allowed);
    }

    /// Calls `read` with a reader of the object at a key, then finishes it.
    void object(std::string_view key, const std::function<void(ObjectReader&)>& read, bool required = false);

    /// The same for each object of the array at a key.
    void objects(std::string_view key, const std::function<void(ObjectReader&)>& read, bool required = false);

    void addFault(FaultKind kind, std::string_view key, std::string seen, std::string allowed);
    std::string pathOf(std::string_view key) const;
    const nlohmann::json& json() const { return m_object; }

    /// Keys that no call asked for are no faults, as in documents of others that may gain keys.
    void ignoreUnknownKeys() { m_ignoresOthers = true; }

    /// Reports the keys that were not read.
    void reportUnknownKeys();

private:
    const nlohmann::json* expect(std::string_view key, bool required, bool (nlohmann::json::*isType)() const noexcept,
        std::string_view typeName);
    std::optional<net::Address> parseAddress(const nlohmann::json& value, const std::string& path);

    const nlohmann::json& m_object;
    const std::string m_path;
    Faults& m_faults;
    bool m_ignoresOthers = false;
    std::set<std::string, std::less<>> m_read;
};

/// Parses a document; an error, or an object that holds a key twice, is a fault.
std::optional<nlohmann::json> parseJson(std::string_view text, Faults& faults);

} // namespace yuccahook::settings
