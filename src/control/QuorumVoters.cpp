#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

constexpr std::size_t leastVoters = 3; // below it no loss is survived
constexpr std::uint64_t learnerForgottenMillis = 10'000; // as a silent voter

} // namespace

// Who votes.

// An instance that is no voter, or has another disk than it had, gets the log before it may vote.
void QuorumCore::noteLearner(const QuorumMessage& heard)
{
    if (m_role != QuorumRole::Leader || heard.disk == 0)
        return;
    const auto [place, isNew]
        = m_progress.try_emplace(heard.from, Progress { heard.disk, 0, lastIndex() + 1, 0, m_now, false });
    if (isNew)
        replicate(heard.from);
}

void QuorumCore::forgetLearners()
{
    std::erase_if(m_progress, [this](const auto& entry) {
        const auto& [id, progress] = entry;
        const bool votes = configuration().voters.contains(id) || configuration().joining.contains(id);
        return !votes && m_now - progress.heardMillis > learnerForgottenMillis;
    });
}

bool QuorumCore::isHeard(std::uint32_t peer, std::uint64_t limitMillis) const
{
    const auto found = m_progress.find(peer);
    return peer == m_id || (found != m_progress.end() && m_now - found->second.heardMillis <= limitMillis);
}

// One change at a time, each a joint one: a returned instance takes its old place, a waiting one that of a silent
// voter or a new place; a voter that stays silent leaves.
void QuorumCore::reviewVoters()
{
    if (m_role != QuorumRole::Leader || !isSettled() || m_commit < m_termStart || m_handOverTo != 0)
        return;
    VoterMap voters = configuration().voters;
    std::optional<std::uint32_t> silent;
    bool allHeard = true;
    for (const auto& [id, disk] : voters) {
        const bool mayBeLate = m_now - m_leadsSinceMillis <= m_timings.exchangeMillis;
        if (!mayBeLate && !isHeard(id, m_timings.exchangeMillis))
            silent = id;
        allHeard = allHeard && isHeard(id, m_timings.electionMillis);
    }
    for (const auto& [id, progress] : m_progress) {
        const bool isReady = progress.disk != 0 && progress.match >= m_commit && progress.match > 0
            && isHeard(id, m_timings.electionMillis) && !configuration().contains(id, progress.disk);
        if (!isReady)
            continue;
        if (!voters.contains(id)) {
            // While a voter may be gone, one more would only raise the majority.
            if (!silent && (!allHeard || voters.size() >= m_timings.maximumVoters))
                continue;
            if (silent)
                voters.erase(*silent);
        }
        voters[id] = progress.disk;
        proposeVoters(std::move(voters));
        return;
    }
    const bool ledLong = m_now - m_leadsSinceMillis > m_timings.removalMillis;
    if (silent && ledLong && voters.size() > leastVoters && !isHeard(*silent, m_timings.removalMillis)) {
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
    VoterMap heard { { m_id, m_disk } };
    for (const auto& [peer, progress] : m_progress) {
        if (m_now - progress.heardMillis <= limitMillis)
            heard[peer] = progress.disk;
    }
    return configuration().isQuorum(heard);
}

} // namespace yuccahook::control
