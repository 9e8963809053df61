#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

constexpr std::size_t minimumVoters = 3; // with fewer voters no loss is survived
// the same as for a silent voter, QuorumTimings::voterRemovalMillis
constexpr std::uint64_t learnerRetentionMillis = 10'000;

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

// Makes one change at a time, each through a joint configuration: a returned instance gets its former place, a learner
// gets that of a silent voter or a new place, and a voter that stays silent is removed.
void QuorumCore::adjustVoters()
{
    if (m_role != QuorumRole::Leader || !hasStableConfiguration() || m_commitIndex < m_termStartIndex
        || m_transferTarget != 0)
        return;
    VoterMap voters = configuration().voters;
    std::optional<std::uint32_t> silent;
    bool allResponsive = true;
    for (const auto& [id, disk] : voters) {
        const bool isNewLeader = m_nowMillis - m_leaderSinceMillis <= m_timings.voterReplacementMillis;
        if (!isNewLeader && !hasRecentContact(id, m_timings.voterReplacementMillis))
            silent = id;
        allResponsive = allResponsive && hasRecentContact(id, m_timings.electionTimeoutMillis);
    }
    for (const auto& [id, progress] : m_progress) {
        const bool isReady = progress.disk != 0 && progress.matchIndex >= m_commitIndex && progress.matchIndex > 0
            && hasRecentContact(id, m_timings.electionTimeoutMillis) && !configuration().contains(id, progress.disk);
        if (!isReady)
            continue;
        if (!voters.contains(id)) {
            // While a voter may be lost, one more voter would only raise the majority.
            if (!silent && (!allResponsive || voters.size() >= m_timings.maximumVoters))
                continue;
            if (silent)
                voters.erase(*silent);
        }
        voters[id] = progress.disk;
        proposeVoters(std::move(voters));
        return;
    }
    const bool hasLedLong = m_nowMillis - m_leaderSinceMillis > m_timings.voterRemovalMillis;
    if (silent && hasLedLong && voters.size() > minimumVoters
        && !hasRecentContact(*silent, m_timings.voterRemovalMillis)) {
        voters.erase(*silent);
        proposeVoters(std::move(voters));
    }
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
    return configuration().isQuorum(responsive);
}

} // namespace yuccahook::control
