#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace yuccahook::kernel {

/// The table of names of an enumeration whose values count from 0; specialised beside each enumeration with a
/// constexpr array `names`.
template <typename Enum> struct EnumNames;

/// The name of a value; "unknown" for a value outside the table, as a later release may send.
template <typename Enum> constexpr std::string_view nameOf(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < EnumNames<Enum>::names.size() ? EnumNames<Enum>::names[index] : "unknown";
}

/// The value of a name, or nothing.
template <typename Enum> constexpr std::optional<Enum> valueOf(std::string_view name)
{
    for (std::size_t index = 0; index < EnumNames<Enum>::names.size(); ++index) {
        if (EnumNames<Enum>::names[index] == name)
            return static_cast<Enum>(index);
    }
    return std::nullopt;
}

} // namespace yuccahook::kernel
