#include "control/QuorumMessage.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

bool hasMajority(const VoterMap& voters, const VoterMap& present)
{
    const auto count = std::count_if(voters.begin(), voters.end(), [&present](const auto& voter) {
        const auto found = present.find(voter.first);
        return found != present.end() && found->second == voter.second;
    });
    return static_cast<std::size_t>(count) > voters.size() / 2;
}

bool has(const VoterMap& voters, std::uint32_t id, std::uint64_t disk)
{
    const auto found = voters.find(id);
    return found != voters.end() && found->second == disk;
}

} // namespace

bool QuorumConfiguration::isQuorum(const VoterMap& present) const
{
    return hasMajority(voters, present) && (joining.empty() || hasMajority(joining, present));
}

bool QuorumConfiguration::contains(std::uint32_t id, std::uint64_t disk) const
{
    return has(voters, id, disk) || has(joining, id, disk);
}

bool JournalState::apply(const JournalRecord& record)
{
    if (record.disk != 0)
        disk = record.disk;
    if (record.snapshot) {
        snapshot = *record.snapshot;
        entries.clear();
    }
    if (record.vote)
        vote = *record.vote;
    if (record.firstIndex == 0)
        return true;
    if (record.firstIndex <= snapshot.index || record.firstIndex > snapshot.index + entries.size() + 1)
        return false;
    entries.resize(record.firstIndex - snapshot.index - 1);
    entries.insert(entries.end(), record.entries.begin(), record.entries.end());
    return true;
}

} // namespace yuccahook::control
