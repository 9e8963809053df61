#include "control/QuorumCore.h"

#include <algorithm>
#include <utility>

namespace yuccahook::control {

// Elections.

void QuorumCore::resetElectionTimer()
{
    m_electionAtMillis = m_now + m_timings.electionMillis + m_random() % m_timings.electionMillis;
}

void QuorumCore::enterTerm(std::uint64_t term, std::uint64_t votedFor)
{
    m_vote = { term, votedFor };
    m_voteChanged = true;
}

void QuorumCore::follow(std::uint64_t term, std::uint32_t leader)
{
    if (term > m_vote.term)
        enterTerm(term, 0);
    if (m_role != QuorumRole::Follower) {
        m_role = QuorumRole::Follower;
        m_granted.clear();
        resetElectionTimer();
    }
    m_leader = leader;
    m_handOverTo = 0;
}

bool QuorumCore::isUpToDate(const QuorumMessage& candidate) const
{
    const std::uint64_t lastTerm = termAt(lastIndex());
    return candidate.logTerm > lastTerm || (candidate.logTerm == lastTerm && candidate.index >= lastIndex());
}

// After a start of all instances nobody needs to wait for a leader that may still live: of those whose logs go
// furthest, the lowest campaigns once it has heard all voters. The election timer serves when some are missing.
void QuorumCore::notePresent(const QuorumMessage& heard)
{
    const bool isFirstElection = m_leaderHeardMillis == 0 && m_role == QuorumRole::Follower;
    if (!isFirstElection || isEmpty() || !votes() || heard.disk == 0)
        return;
    const auto own = std::pair { termAt(lastIndex()), lastIndex() };
    const auto others = std::pair { heard.logTerm, heard.index };
    if (others > own || (others == own && heard.from < m_id))
        return;
    m_present[heard.from] = heard.disk;
    VoterMap voters = configuration().voters;
    voters.insert(configuration().joining.begin(), configuration().joining.end());
    const bool areAllHere = std::all_of(voters.begin(), voters.end(), [this](const auto& voter) {
        const auto found = m_present.find(voter.first);
        return voter.first == m_id || (found != m_present.end() && found->second == voter.second);
    });
    if (areAllHere)
        beginElection();
}

void QuorumCore::beginElection()
{
    resetElectionTimer();
    if (!votes())
        return;
    if (m_timings.preVote)
        startPreVote();
    else
        campaign();
}

void QuorumCore::startPreVote()
{
    m_role = QuorumRole::PreCandidate;
    m_leader = 0;
    m_granted = { { m_id, m_disk } };
    QuorumMessage ask = message(MessageKind::PreVote, 0);
    ask.term = m_vote.term + 1;
    ask.index = lastIndex();
    ask.logTerm = termAt(lastIndex());
    broadcast(ask);
    if (configuration().isQuorum(m_granted))
        campaign();
}

void QuorumCore::campaign()
{
    m_role = QuorumRole::Candidate;
    m_leader = 0;
    m_granted = { { m_id, m_disk } };
    enterTerm(m_vote.term + 1, m_disk);
    resetElectionTimer();
    QuorumMessage ask = message(MessageKind::Vote, 0);
    ask.index = lastIndex();
    ask.logTerm = termAt(lastIndex());
    broadcast(ask);
    if (configuration().isQuorum(m_granted))
        becomeLeader();
}

void QuorumCore::onPreVote(const QuorumMessage& ask)
{
    noteLearner(ask);
    const bool hearsLeader
        = m_role == QuorumRole::Leader || (m_leader != 0 && m_now - m_leaderHeardMillis < m_timings.electionMillis);
    const bool granted = !hearsLeader && ask.term > m_vote.term && isUpToDate(ask);
    reply(ask, MessageKind::PreVoteReply, granted);
    if (granted)
        m_output.messages.back().term = ask.term;
}

void QuorumCore::onPreVoteReply(const QuorumMessage& answer)
{
    if (m_role != QuorumRole::PreCandidate || !answer.granted || answer.term != m_vote.term + 1)
        return;
    m_granted[answer.from] = answer.disk;
    if (configuration().isQuorum(m_granted))
        campaign();
}

void QuorumCore::onVote(const QuorumMessage& ask)
{
    const bool free = m_vote.disk == 0 || m_vote.disk == ask.disk;
    const bool granted = ask.term == m_vote.term && free && isUpToDate(ask);
    if (granted) {
        if (m_vote.disk == 0)
            enterTerm(m_vote.term, ask.disk);
        resetElectionTimer();
    }
    reply(ask, MessageKind::VoteReply, granted);
}

void QuorumCore::onVoteReply(const QuorumMessage& answer)
{
    if (m_role != QuorumRole::Candidate || !answer.granted || answer.term != m_vote.term)
        return;
    m_granted[answer.from] = answer.disk;
    if (configuration().isQuorum(m_granted))
        becomeLeader();
}

void QuorumCore::becomeLeader()
{
    m_role = QuorumRole::Leader;
    m_leader = m_id;
    m_handOverTo = 0;
    m_progress.clear();
    for (const std::uint32_t peer : electorate()) {
        const auto granted = m_granted.find(peer);
        const std::uint64_t disk = granted != m_granted.end() ? granted->second : 0;
        m_progress[peer] = { disk, 0, lastIndex() + 1, 0, disk != 0 ? m_now : 0, false };
    }
    m_leadsSinceMillis = m_now;
    append({ m_vote.term, EntryKind::TermStart, 0, {}, {} });
    m_termStart = lastIndex();
    m_heartbeatAtMillis = m_now + m_timings.heartbeatMillis;
    replicateToAll(true);
}

void QuorumCore::onTakeOver(const QuorumMessage& ask)
{
    if (ask.term == m_vote.term && votes())
        campaign();
}

} // namespace yuccahook::control
