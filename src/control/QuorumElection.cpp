#include "control/QuorumCore.h"

#include <algorithm>
#include <utility>

namespace yuccahook::control {

void QuorumCore::resetElectionTimer()
{
    m_electionDueMillis = m_nowMillis + m_timings.electionTimeoutMillis + m_random() % m_timings.electionTimeoutMillis;
}

void QuorumCore::recordVote(std::uint64_t term, std::uint64_t votedFor)
{
    m_vote = { term, votedFor };
    m_voteChanged = true;
}

void QuorumCore::becomeFollower(std::uint64_t term, std::uint32_t leader)
{
    if (term > m_vote.term)
        recordVote(term, 0);
    if (m_role != QuorumRole::Follower) {
        m_role = QuorumRole::Follower;
        m_grantedBy.clear();
        resetElectionTimer();
    }
    m_leader = leader;
    m_transferTarget = 0;
}

bool QuorumCore::isUpToDate(const QuorumMessage& candidate) const
{
    const std::uint64_t lastTerm = termAt(lastIndex());
    return candidate.logTerm > lastTerm || (candidate.logTerm == lastTerm && candidate.index >= lastIndex());
}

// After all instances have started together, none needs to wait out an election timeout for a leader that may still be
// alive. Of the voters whose logs are furthest, the one with the lowest id starts an election once it has heard from
// all voters. The election timer covers the case that some are missing.
void QuorumCore::recordStartupVoter(const QuorumMessage& message)
{
    const bool noLeaderSinceStart = m_leaderContactMillis == 0 && m_role == QuorumRole::Follower;
    if (!noLeaderSinceStart || isLogEmpty() || !isVoter() || message.disk == 0)
        return;
    const auto ownLog = std::pair { termAt(lastIndex()), lastIndex() };
    const auto otherLog = std::pair { message.logTerm, message.index };
    if (otherLog > ownLog || (otherLog == ownLog && message.from < m_id))
        return;
    m_startupVoters[message.from] = message.disk;
    VoterMap voters = configuration().voters;
    voters.insert(configuration().joining.begin(), configuration().joining.end());
    const bool allVotersPresent = std::all_of(voters.begin(), voters.end(), [this](const auto& voter) {
        const auto found = m_startupVoters.find(voter.first);
        return voter.first == m_id || (found != m_startupVoters.end() && found->second == voter.second);
    });
    if (allVotersPresent)
        startElection(ElectionCause::VotersPresent);
}

void QuorumCore::recordElection(ElectionCause cause)
{
    const std::uint64_t silentMillis = m_leaderContactMillis == 0 ? 0 : m_nowMillis - m_leaderContactMillis;
    const bool hasFailed = m_role == QuorumRole::PreCandidate || m_role == QuorumRole::Candidate;
    const auto isVote = [this](const auto& granted) { return configuration().contains(granted.first, granted.second); };
    const auto votes = std::count_if(m_grantedBy.begin(), m_grantedBy.end(), isVote);
    const std::size_t previousVotes = hasFailed ? static_cast<std::size_t>(votes) : 0;
    m_lastElection = { m_lastElection.count + 1, cause, m_vote.term, silentMillis, previousVotes };
}

void QuorumCore::startElection(ElectionCause cause)
{
    resetElectionTimer();
    if (!isVoter())
        return;
    recordElection(cause);
    if (m_timings.preVote)
        startPreVote();
    else
        startCampaign();
}

void QuorumCore::startPreVote()
{
    m_role = QuorumRole::PreCandidate;
    m_leader = 0;
    m_grantedBy = { { m_id, m_disk } };
    QuorumMessage request = makeMessage(MessageKind::PreVote, 0);
    request.term = m_vote.term + 1;
    request.index = lastIndex();
    request.logTerm = termAt(lastIndex());
    broadcast(request);
    if (configuration().isQuorum(m_grantedBy, m_lostDisks))
        startCampaign();
}

void QuorumCore::startCampaign()
{
    m_role = QuorumRole::Candidate;
    m_leader = 0;
    m_grantedBy = { { m_id, m_disk } };
    m_campaignLostDisks = m_lostDisks;
    recordVote(m_vote.term + 1, m_disk);
    resetElectionTimer();
    QuorumMessage request = makeMessage(MessageKind::Vote, 0);
    request.index = lastIndex();
    request.logTerm = termAt(lastIndex());
    broadcast(request);
    if (configuration().isQuorum(m_grantedBy, m_campaignLostDisks))
        becomeLeader();
}

void QuorumCore::onPreVote(const QuorumMessage& request)
{
    trackLearner(request);
    const bool hasLeader = m_role == QuorumRole::Leader
        || (m_leader != 0 && m_nowMillis - m_leaderContactMillis < m_timings.electionTimeoutMillis);
    const bool granted = !hasLeader && request.term > m_vote.term && isUpToDate(request);
    sendReply(request, MessageKind::PreVoteReply, granted);
    if (granted)
        m_output.messages.back().term = request.term;
}

void QuorumCore::onPreVoteReply(const QuorumMessage& reply)
{
    if (m_role != QuorumRole::PreCandidate || !reply.granted || reply.term != m_vote.term + 1)
        return;
    m_grantedBy[reply.from] = reply.disk;
    if (configuration().isQuorum(m_grantedBy, m_lostDisks))
        startCampaign();
}

void QuorumCore::onVote(const QuorumMessage& request)
{
    const bool mayVote = m_vote.disk == 0 || m_vote.disk == request.disk;
    const bool granted = request.term == m_vote.term && mayVote && isUpToDate(request);
    if (granted) {
        if (m_vote.disk == 0)
            recordVote(m_vote.term, request.disk);
        resetElectionTimer();
    }
    sendReply(request, MessageKind::VoteReply, granted);
}

void QuorumCore::onVoteReply(const QuorumMessage& reply)
{
    if (m_role != QuorumRole::Candidate || !reply.granted || reply.term != m_vote.term)
        return;
    // A late vote for the disk that was at this address before says nothing about the present log.
    if (reply.probe != 0 && reply.probe != m_probe)
        return;
    m_grantedBy[reply.from] = reply.disk;
    // A disk that is known to be lost only since the campaign began may have been lost after some of these votes.
    if (configuration().isQuorum(m_grantedBy, m_campaignLostDisks))
        becomeLeader();
}

void QuorumCore::becomeLeader()
{
    m_role = QuorumRole::Leader;
    m_leader = m_id;
    m_transferTarget = 0;
    m_progress.clear();
    for (const std::uint32_t peer : knownPeers()) {
        const auto granted = m_grantedBy.find(peer);
        const std::uint64_t disk = granted != m_grantedBy.end() ? granted->second : 0;
        m_progress[peer] = { disk, 0, lastIndex() + 1, 0, disk != 0 ? m_nowMillis : 0 };
    }
    m_leaderSinceMillis = m_nowMillis;
    append({ m_vote.term, EntryKind::TermStart, 0, {}, {} });
    m_termStartIndex = lastIndex();
    m_heartbeatDueMillis = m_nowMillis + m_timings.heartbeatIntervalMillis;
    replicateToAll(true);
}

void QuorumCore::onTakeOver(const QuorumMessage& request)
{
    if (request.term == m_vote.term && isVoter()) {
        recordElection(ElectionCause::TakeOver);
        startCampaign();
    }
}

} // namespace yuccahook::control
