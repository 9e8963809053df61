#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace yuccahook::roles {

/// The words and options of a `yuccahook note` command line.
struct NoteArguments {
    std::vector<std::string> words; ///< Behind "note": submit FILE, show N, list, status N.
    std::string control; ///< Operator addresses of control instances, separated by commas.
    bool dryRun = false;
    bool json = false;
};

/// Runs a command about release notes and returns its exit code (ExitCode). `submit` sends the same note again, to
/// another instance, when an answer was lost: the same number with the same content is the same note.
int runNoteCommand(const NoteArguments& arguments, std::ostream& out, std::ostream& err);

/// True when the words are a command that `runNoteCommand` knows.
bool isNoteCommand(const std::vector<std::string>& words);

} // namespace yuccahook::roles
