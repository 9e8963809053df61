#pragma once

#include <iosfwd>
#include <optional>
#include <string>

namespace yuccahook::roles {

/// The arguments of `yuccahook evacuate`.
struct EvacuateArguments {
    std::optional<std::string> domain; ///< Not set: list the evacuations in force.
    std::string control; ///< Operator addresses of control instances, separated by commas.
    bool end = false;
    bool json = false;
};

/// Starts, ends or lists evacuations of failure domains and returns the exit code (ExitCode). An order without an
/// acknowledgement is sent again, to another control instance. That is safe, because a repeated order changes nothing.
int runEvacuate(const EvacuateArguments& arguments, std::ostream& out, std::ostream& err);

} // namespace yuccahook::roles
