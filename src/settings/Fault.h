#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <string>
#include <vector>

namespace yuccahook::settings {

/// What is wrong with a JSON document, such as a settings file or a release note, or with a value in it.
enum class FaultKind { NotJson, UnknownKey, MissingKey, WrongType, OutOfRange, Malformed, Duplicate, Conflict };

/// One fault of a JSON document: where it is, the value seen and the values allowed.
struct Fault {
    FaultKind kind;
    std::string path; ///< Such as "balancer.trunk" or "added[2].address"; empty for the document.
    std::string seen;
    std::string allowed;
};

using Faults = std::vector<Fault>;

/// One line for operators with the path, the kind and, when known, the value seen and the values allowed.
std::string describe(const Fault& fault);

} // namespace yuccahook::settings

template <> struct yuccahook::kernel::EnumNames<yuccahook::settings::FaultKind> {
    static constexpr std::array<std::string_view, 8> names { "not-json", "unknown-key", "missing-key", "wrong-type",
        "out-of-range", "malformed", "duplicate", "conflict" };
};
