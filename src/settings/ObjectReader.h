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

/// Reads the members of a JSON object into fields and collects every fault with its path. An absent key or a value of
/// the wrong type leaves its field unchanged; an absent key is a fault only when it is required. At the end
/// `reportUnknownKeys` adds a fault for each key that no call has read.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& object, std::string path, Faults& faults);

    bool has(std::string_view key) const;

    /// The value of a key, which counts as read; null, without a fault, when the key is absent.
    const nlohmann::json* find(std::string_view key);

    /// A string; an empty one is a fault when the key is required.
    void text(std::string_view key, std::string& field, bool required = false);

    /// A whole number from `minimum` to `maximum`.
    void number(std::string_view key, std::uint64_t& field, std::uint64_t minimum, std::uint64_t maximum,
        bool required = false);

    /// A number, which may have a fraction, of at least 0.
    void quantity(std::string_view key, double& field);
    void flag(std::string_view key, bool& field);

    /// A time in seconds, which may have a fraction, stored in milliseconds: from 1 ms to `maximumMillis`.
    void seconds(std::string_view key, std::uint32_t& millis, std::uint32_t maximumMillis);
    void address(std::string_view key, net::Address& field, bool required = false);
    void addresses(std::string_view key, std::vector<net::Address>& field, bool required = false);
    void textArray(std::string_view key, std::vector<std::string>& field);

    /// A whole number from `minimum` to `maximum`, which the unsigned type of the field must be able to hold.
    template <typename Number>
    void integer(
        std::string_view key, Number& field, std::uint64_t minimum, std::uint64_t maximum, bool required = false)
    {
        std::uint64_t value = field;
        number(key, value, minimum, maximum, required);
        field = static_cast<Number>(value);
    }

    /// A value of an enumeration, given by its name in EnumNames.
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

    /// Calls `read` with a reader of the object at a key, then reports its unknown keys.
    void object(std::string_view key, const std::function<void(ObjectReader&)>& read, bool required = false);

    /// Does the same as `object` for each object of the array at a key.
    void objects(std::string_view key, const std::function<void(ObjectReader&)>& read, bool required = false);

    /// Adds a fault at a key of this object.
    void addFault(FaultKind kind, std::string_view key, std::string seen, std::string allowed);

    /// The path of a key in the whole document.
    std::string pathOf(std::string_view key) const;
    const nlohmann::json& json() const { return m_object; }

    /// Accepts keys that no call has read, for documents whose format others may extend.
    void ignoreUnknownKeys() { m_ignoresUnknownKeys = true; }

    /// Adds a fault for every key that no call has read.
    void reportUnknownKeys();

private:
    const nlohmann::json* findOfType(std::string_view key, bool required,
        bool (nlohmann::json::*isType)() const noexcept, std::string_view typeName);
    std::optional<net::Address> parseAddress(const nlohmann::json& value, const std::string& path);

    const nlohmann::json& m_object;
    const std::string m_path;
    Faults& m_faults;
    bool m_ignoresUnknownKeys = false;
    std::set<std::string, std::less<>> m_read;
};

/// Parses a JSON object. Adds a fault and returns nothing when the text is not JSON or not an object, has a key twice
/// in one object, nests deeper than 32 levels, or has a number beyond the range of a double.
std::optional<nlohmann::json> parseJson(std::string_view text, Faults& faults);

} // namespace yuccahook::settings
