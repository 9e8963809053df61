#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

constexpr std::size_t minimumVoters = 3; // with fewer voters no loss is survived
// the same as for a silent voter, QuorumTimings::voterRemovalMillis
constexpr std::uint64_t learnerRetentionMillis = 10'000;
constexpr std::uint64_t leaveRetentionMillis = 1000; // many times the interval at which an instance repeats its leave

} // namespace

// An instance that is not a voter, or that returns with another disk, receives the log as a learner before it may vote.
void QuorumCore::trackLearner(const QuorumMessage& message)
{
    if (m_role != QuorumRole::Leader || message.disk == 0)
        return;
    const auto [progress, isNew]
        = m_progress.try_emplace(message.from, Progress { message.disk, 0, lastIndex() + 1, 0, m_nowMillis });
    if (isNew)
        replicate(message.from);
}

void QuorumCore::removeSilentLearners()
{
    std::erase_if(m_progress, [this](const auto& entry) {
        const auto& [id, progress] = entry;
        const bool isKnownVoter = configuration().voters.contains(id) || configuration().joining.contains(id);
        return !isKnownVoter && m_nowMillis - progress.lastContactMillis > learnerRetentionMillis;
    });
}

bool QuorumCore::hasRecentContact(std::uint32_t peer, std::uint64_t limitMillis) const
{
    const auto found = m_progress.find(peer);
    return peer == m_id || (found != m_progress.end() && m_nowMillis - found->second.lastContactMillis <= limitMillis);
}

// A new leader knows of the previous one how long it has been silent. It gives all others the whole time.
bool QuorumCore::isSilent(std::uint32_t voter) const
{
    const std::uint64_t sinceMillis = voter == m_contactLeader ? m_leaderContactMillis : m_leaderSinceMillis;
    const bool hadTimeToReply = m_nowMillis - m_leaderSinceMillis > m_timings.electionTimeoutMillis;
    return hadTimeToReply && m_nowMillis - sinceMillis > m_timings.voterReplacementMillis
        && !hasRecentContact(voter, m_timings.voterReplacementMillis);
}

// A voter that is about to stop or silent. Nothing when there is none.
std::optional<std::uint32_t> QuorumCore::departingVoter() const
{
    std::optional<std::uint32_t> silent;
    for (const auto& [id, disk] : configuration().voters) {
        const auto found = m_progress.find(id);
        if (found != m_progress.end() && isLeaving(found->second))
            return id;
        if (isSilent(id))
            silent = id;
    }
    return silent;
}

// An instance that has another disk than the voters name has lost its former one, because a lost disk does not come
// back. Only the reply to a request that was sent after that voter was known here shows this: a message that its
// instance sent earlier, with the disk before, may be late.
void QuorumCore::recordLostDisk(const QuorumMessage& reply)
{
    if (reply.disk == 0 || reply.probe != m_probe)
        return;
    for (const auto* voters : { &configuration().voters, &configuration().joining }) {
        const auto voter = voters->find(reply.from);
        if (voter != voters->end() && voter->second != reply.disk && m_lostDisks.insert(voter->second).second)
            m_lostDisksSinceMillis = m_nowMillis;
    }
}

// Adapts to a new configuration.
void QuorumCore::forgetFormerDisks()
{
    ++m_probe;
    std::erase_if(m_lostDisks, [this](std::uint64_t disk) {
        const auto isDisk = [disk](const auto& voter) { return voter.second == disk; };
        const auto& [voters, joining] = configuration();
        return std::none_of(voters.begin(), voters.end(), isDisk)
            && std::none_of(joining.begin(), joining.end(), isDisk);
    });
}

// Makes one change at a time, each through a joint configuration: a returned instance gets its former place, a learner
// gets that of a departing voter or a new place, and a departing voter is removed.
void QuorumCore::adjustVoters()
{
    if (m_role != QuorumRole::Leader || !hasStableConfiguration() || m_commitIndex < m_termStartIndex
        || m_transferTarget != 0)
        return;
    VoterMap voters = configuration().voters;
    const std::optional<std::uint32_t> departing = departingVoter();
    const bool allResponsive = std::all_of(voters.begin(), voters.end(),
        [this](const auto& voter) { return hasRecentContact(voter.first, m_timings.electionTimeoutMillis); });
    for (const auto& [id, progress] : m_progress) {
        const bool isReady = progress.disk != 0 && progress.matchIndex >= m_commitIndex && progress.matchIndex > 0
            && !isLeaving(progress) && hasRecentContact(id, m_timings.electionTimeoutMillis)
            && !configuration().contains(id, progress.disk);
        if (!isReady)
            continue;
        if (!voters.contains(id)) {
            // While a voter may be lost, one more voter would only raise the majority.
            if (!departing && (!allResponsive || voters.size() >= m_timings.maximumVoters))
                continue;
            if (departing)
                voters.erase(*departing);
        }
        voters[id] = progress.disk;
        proposeVoters(std::move(voters));
        return;
    }
    if (!departing || voters.size() <= minimumVoters)
        return;
    // An even number of voters survives no more silent ones than one voter less, of which all are present. If another
    // one is silent too, either may return, and more voters survive more lost disks.
    const bool othersRespond = std::all_of(voters.begin(), voters.end(), [this, &departing](const auto& voter) {
        return voter.first == *departing || hasRecentContact(voter.first, m_timings.electionTimeoutMillis);
    });
    const bool isPlanned = m_progress.contains(*departing) && isLeaving(m_progress.at(*departing));
    const bool isExcess = voters.size() % 2 == 0 && (isPlanned || othersRespond);
    const bool hasLedLong = m_nowMillis - m_leaderSinceMillis > m_timings.voterRemovalMillis;
    if (isExcess || (hasLedLong && !hasRecentContact(*departing, m_timings.voterRemovalMillis))) {
        voters.erase(*departing);
        proposeVoters(std::move(voters));
    }
}

void QuorumCore::leave()
{
    m_leavingSinceMillis = m_nowMillis;
    transferLeadership();
    requestLeave();
}

bool QuorumCore::mayStop() const
{
    const bool isOnlyVoter = isVoter() && hasStableConfiguration() && configuration().voters.size() == 1;
    // A leader that has just stepped down learns of the next one within an election timeout.
    const bool hasNoneToAsk
        = lacksLeader() && isLeaving() && m_nowMillis - *m_leavingSinceMillis > 2 * m_timings.electionTimeoutMillis;
    return m_mayLeave || isOnlyVoter || hasNoneToAsk;
}

void QuorumCore::requestLeave()
{
    if (m_role != QuorumRole::Follower || m_leader == 0)
        return;
    m_heartbeatDueMillis = m_nowMillis + m_timings.heartbeatIntervalMillis;
    send(makeMessage(MessageKind::Leave, m_leader));
}

void QuorumCore::onLeave(const QuorumMessage& request)
{
    if (m_role != QuorumRole::Leader || request.term != m_vote.term)
        return;
    const auto known = m_progress.find(request.from);
    if (known != m_progress.end())
        known->second.leavingUntilMillis = m_nowMillis + leaveRetentionMillis;
    adjustVoters();
    sendReply(request, MessageKind::LeaveReply, mayLeave(request.from));
}

void QuorumCore::onLeaveReply(const QuorumMessage& reply)
{
    m_mayLeave = m_mayLeave || (isLeaving() && reply.granted && reply.term == m_vote.term);
}

// Whether no change of the voters is to be made before an instance stops. One that is still a voter waits for a learner
// that is being brought up to date and may take its place.
bool QuorumCore::mayLeave(std::uint32_t peer) const
{
    if (!hasStableConfiguration() || m_commitIndex < m_termStartIndex)
        return false;
    const VoterMap& voters = configuration().voters;
    if (!voters.contains(peer))
        return true;
    const bool isRemoved = voters.size() > minimumVoters && voters.size() % 2 == 0;
    const bool isReplaced = std::any_of(m_progress.begin(), m_progress.end(), [&](const auto& entry) {
        const auto& [id, progress] = entry;
        return progress.disk != 0 && !voters.contains(id) && !isLeaving(progress)
            && hasRecentContact(id, m_timings.electionTimeoutMillis);
    });
    return !isRemoved && !isReplaced;
}

void QuorumCore::proposeVoters(VoterMap voters)
{
    append({ m_vote.term, EntryKind::Admit, 0, std::move(voters), {} });
    replicateToAll(false);
}

bool QuorumCore::hasQuorumContact(std::uint64_t limitMillis) const
{
    VoterMap responsive { { m_id, m_disk } };
    for (const auto& [peer, progress] : m_progress) {
        if (m_nowMillis - progress.lastContactMillis <= limitMillis)
            responsive[peer] = progress.disk;
    }
    return configuration().isQuorum(responsive, m_lostDisks);
}

} // namespace yuccahook::control
