#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace yuccahook::kernel {

/// The names of an enumeration whose values count from 0. Each enumeration specialises it with a constexpr array
/// `names`, indexed by value.
template <typename Enum> struct EnumNames;

/// The name of a value; "unknown" for a value without a name, such as one sent by a later release.
template <typename Enum> constexpr std::string_view nameOf(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < EnumNames<Enum>::names.size() ? EnumNames<Enum>::names[index] : "unknown";
}

/// The value with that name; nothing when no value has it.
template <typename Enum> constexpr std::optional<Enum> valueOf(std::string_view name)
{
    for (std::size_t index = 0; index < EnumNames<Enum>::names.size(); ++index) {
        if (EnumNames<Enum>::names[index] == name)
            return static_cast<Enum>(index);
    }
    return std::nullopt;
}

} // namespace yuccahook::kernel
