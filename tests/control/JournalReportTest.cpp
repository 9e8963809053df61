#include "control/JournalReport.h"
#include "control/Journal.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace yuccahook::control;

TEST_CASE("A journal in a folder of the file system can be read back and reported")
{
    std::string pattern = (std::filesystem::temp_directory_path() / "yuccahook-journal-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    const std::string folder = pattern;
    const std::string file = folder + "/journal";
    FolderFiles files(folder);
    REQUIRE(files.lock() == FileStatus::Done);
    Journal journal(files);
    REQUIRE(journal.open(5));
    JournalRecord record;
    record.firstIndex = 1;
    record.entries = { { 1, EntryKind::TermStart, 0, {}, {} } };
    REQUIRE(journal.write(record));
    REQUIRE(std::filesystem::file_size(file) == journal.bytes());

    SUBCASE("its folder can't be locked twice")
    {
        FolderFiles other(folder);
        CHECK(other.lock() == FileStatus::InUse);
    }

    // Guards against a process that ends because its disk is full while it starts.
    SUBCASE("a folder that can't be created at first is locked once it can")
    {
        const std::string blocked = folder + "/blocked";
        std::ofstream(blocked) << "a file in place of the folder";
        FolderFiles later(blocked);
        CHECK(later.lock() == FileStatus::WriteFailed);
        std::filesystem::remove(blocked);
        CHECK(later.lock() == FileStatus::Done);
        CHECK(Journal(later).open(7));
    }

    SUBCASE("another Journal reads the same state")
    {
        const auto state = Journal(files).open(6);
        REQUIRE(state);
        CHECK(state->disk == 5);
        CHECK(state->entries == record.entries);
    }

    SUBCASE("the report lists its records")
    {
        const auto report = inspectJournal(folder, true);
        CHECK(report.intact);
        CHECK(report.body["disk"] == 5);
        CHECK(report.body["records"][1]["entries"][0]["kind"] == "term-start");
    }

    SUBCASE("damage is reported with its offset, and the file is not changed")
    {
        std::fstream(file, std::ios::in | std::ios::out | std::ios::binary).seekp(20).put('x');
        const auto report = inspectJournal(folder, false);
        CHECK_FALSE(report.intact);
        CHECK(report.body["fault"]["error"] == "damaged");
        CHECK(report.body["fault"]["offset"] == 8);
        CHECK(std::filesystem::file_size(file) == journal.bytes());
    }

    SUBCASE("a missing journal is reported as missing")
    {
        CHECK(inspectJournal(folder + "/none", false).body["fault"]["file"] == "missing");
    }

    std::filesystem::remove_all(folder);
}
