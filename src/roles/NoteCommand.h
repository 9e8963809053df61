#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace yuccahook::roles {

/// The positional arguments and options of a `yuccahook note` command line.
struct NoteArguments {
    std::vector<std::string> words; ///< After "note": submit FILE, show N, list, status N.
    std::string control; ///< Operator addresses of control instances, separated by commas.
    bool dryRun = false;
    bool json = false;
};

/// Runs a command about release notes and returns its exit code (ExitCode). When a response is lost, `submit` sends the
/// note again, to another control instance. That is safe, because a note with the same number and content is the same
/// note.
int runNoteCommand(const NoteArguments& arguments, std::ostream& out, std::ostream& err);

/// Whether `words` form a command that `runNoteCommand` knows, with the right number of words.
bool isNoteCommand(const std::vector<std::string>& words);

} // namespace yuccahook::roles
