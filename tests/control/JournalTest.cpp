#include "control/Journal.h"
#include "control/FaultyFiles.h"

#include <doctest/doctest.h>
#include <random>

using namespace yuccahook::control;
using yuccahook::control::testing::Crash;
using yuccahook::control::testing::FaultyFiles;

namespace {

constexpr std::uint64_t disk = 77;
const std::string journalName(Journal::fileName);

JournalRecord entryRecord(std::uint64_t index)
{
    JournalRecord record;
    record.vote = QuorumVote { index, disk };
    record.firstIndex = index;
    record.entries = { { index, EntryKind::Command, 0, {}, "command " + std::to_string(index) } };
    return record;
}

// Opens the journal, appends the entries that are missing up to `last` and replaces the journal by a snapshot halfway.
// Returns the index of the last acknowledged entry.
std::uint64_t writeEntries(FaultyFiles& files, std::uint64_t last, std::uint64_t& acknowledged)
{
    Journal journal(files);
    auto state = journal.open(disk);
    while (state && state->snapshot.index + state->entries.size() < last) {
        const auto record = entryRecord(state->snapshot.index + state->entries.size() + 1);
        if (!journal.write(record))
            break;
        state->apply(record);
        acknowledged = std::max(acknowledged, record.firstIndex);
        if (record.firstIndex != last / 2)
            continue;
        JournalRecord whole;
        whole.disk = state->disk;
        whole.vote = state->vote;
        whole.snapshot = QuorumSnapshot { record.firstIndex, record.firstIndex, 1, {}, "state" };
        if (!journal.replace(whole))
            break;
        state->apply(whole);
    }
    return acknowledged;
}

} // namespace

TEST_CASE("A journal keeps what it acknowledged")
{
    std::mt19937_64 random(1);
    FaultyFiles files(random);
    std::uint64_t acknowledged = 0;

    SUBCASE("a new journal keeps the identity with which it was created")
    {
        CHECK(Journal(files).open(disk)->disk == disk);
        CHECK(Journal(files).open(disk + 1)->disk == disk);
    }

    SUBCASE("acknowledged entries survive a crash in any write or sync")
    {
        writeEntries(files, 10, acknowledged);
        const std::uint64_t operations = files.operations();
        REQUIRE(operations > 25);
        for (std::uint64_t seed = 0; seed < 8 * operations; ++seed) {
            std::mt19937_64 crashRandom(seed);
            FaultyFiles crashing(crashRandom);
            crashing.crashAfter(seed % operations + 1);
            std::uint64_t promised = 0;
            CHECK_THROWS_AS(writeEntries(crashing, 10, promised), Crash);
            crashing.crash();
            Journal reopened(crashing);
            const auto state = reopened.open(disk);
            REQUIRE(state);
            const std::uint64_t kept = state->snapshot.index + state->entries.size();
            CHECK(kept >= promised);
            CHECK(state->vote.term == kept);
            CHECK(writeEntries(crashing, 10, promised) == 10);
        }
    }

    SUBCASE("an incomplete last frame is cut off")
    {
        writeEntries(files, 3, acknowledged);
        auto& content = files.content(journalName);
        content.resize(content.size() - 5);
        const auto state = Journal(files).open(disk);
        REQUIRE(state);
        CHECK(state->snapshot.index + state->entries.size() == 2);
    }

    SUBCASE("damage before the last frame is refused with its offset")
    {
        writeEntries(files, 10, acknowledged);
        std::vector<std::uint64_t> offsets;
        const std::string good = files.content(journalName);
        scanJournal(good, [&offsets](std::uint64_t offset, const JournalRecord&) { offsets.push_back(offset); });
        REQUIRE(offsets.size() > 3);
        for (std::uint64_t at = offsets[1]; at < offsets.back(); ++at) {
            std::string damaged = good;
            damaged[at] = static_cast<char>(~damaged[at]);
            const auto scan = scanJournal(damaged);
            REQUIRE(scan.fault);
            CHECK(scan.fault->error == JournalError::Damaged);
            CHECK(scan.fault->offset == *std::prev(std::upper_bound(offsets.begin(), offsets.end(), at)));
        }
    }

    SUBCASE("a full disk stops acknowledgement")
    {
        files.limitBytes(600);
        writeEntries(files, 10, acknowledged);
        CHECK(acknowledged < 10);
        Journal journal(files);
        const auto state = journal.open(disk);
        REQUIRE(state);
        CHECK(state->snapshot.index + state->entries.size() == acknowledged);
        CHECK_FALSE(journal.write(entryRecord(acknowledged + 1)));
        CHECK(journal.fault()->file == FileStatus::NoSpace);
    }

    SUBCASE("a failed sync stops acknowledgement until the journal is read again")
    {
        Journal journal(files);
        REQUIRE(journal.open(disk));
        files.failSyncs(true);
        CHECK_FALSE(journal.write(entryRecord(1)));
        files.failSyncs(false);
        CHECK_FALSE(journal.write(entryRecord(1)));
        CHECK(journal.fault()->file == FileStatus::SyncFailed);
    }

    SUBCASE("a file of another format or of an unknown version is refused")
    {
        REQUIRE(Journal(files).open(disk));
        files.content(journalName)[6] = 9;
        CHECK(scanJournal(files.content(journalName)).fault->error == JournalError::UnknownVersion);
        files.content(journalName)[0] = 'x';
        CHECK(scanJournal(files.content(journalName)).fault->error == JournalError::NotAJournal);
    }
}
