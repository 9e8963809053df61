#include "control/QuorumMessage.h"

namespace yuccahook::control {

namespace {

bool hasMajority(const VoterMap& voters, const VoterMap& present, const std::set<std::uint64_t>& lostDisks)
{
    std::size_t count = 0;
    bool hasLostDisk = false;
    for (const auto& [id, disk] : voters) {
        const auto found = present.find(id);
        const bool isLost = lostDisks.contains(disk);
        count += !isLost && found != present.end() && found->second == disk ? 1 : 0;
        hasLostDisk = hasLostDisk || isLost;
    }
    const bool isEven = voters.size() % 2 == 0;
    const std::size_t counted = isEven && hasLostDisk ? voters.size() - 1 : voters.size();
    return count > counted / 2;
}

bool has(const VoterMap& voters, std::uint32_t id, std::uint64_t disk)
{
    const auto found = voters.find(id);
    return found != voters.end() && found->second == disk;
}

} // namespace

bool QuorumConfiguration::isQuorum(const VoterMap& present, const std::set<std::uint64_t>& lostDisks) const
{
    return hasMajority(voters, present, lostDisks) && (joining.empty() || hasMajority(joining, present, lostDisks));
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
