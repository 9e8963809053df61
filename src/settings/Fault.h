#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <string>
#include <vector>

namespace yuccahook::settings {

/// What is wrong with a value in a settings file or a release note.
enum class FaultKind { NotJson, UnknownKey, MissingKey, WrongType, OutOfRange, Malformed, Duplicate, Conflict };

/// One fault of a JSON document: where, what was seen and what is allowed.
struct Fault {
    FaultKind kind;
    std::string path; ///< As in "balancer.trunk" or "added[2].address".
    std::string seen;
    std::string allowed;
};

using Faults = std::vector<Fault>;

/// One line for people: path, kind, seen and allowed.
std::string describe(const Fault& fault);

} // namespace yuccahook::settings

template <> struct yuccahook::kernel::EnumNames<yuccahook::settings::FaultKind> {
    static constexpr std::array<std::string_view, 8> names { "not-json", "unknown-key", "missing-key", "wrong-type",
        "out-of-range", "malformed", "duplicate", "conflict" };
};
