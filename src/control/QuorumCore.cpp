#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

constexpr std::size_t maximumDiscoveryPeers = 32; // several times the largest number of instances of a site

} // namespace

const std::array<QuorumCore::Handler, kernel::EnumNames<MessageKind>::names.size()> QuorumCore::handlers {
    &QuorumCore::onHello,
    &QuorumCore::onHelloReply,
    &QuorumCore::onPreVote,
    &QuorumCore::onPreVoteReply,
    &QuorumCore::onVote,
    &QuorumCore::onVoteReply,
    &QuorumCore::onAppend,
    &QuorumCore::onAppendReply,
    &QuorumCore::onSnapshot,
    &QuorumCore::onTakeOver,
    &QuorumCore::onLeave,
    &QuorumCore::onLeaveReply,
};

QuorumCore::QuorumCore(std::uint32_t id, std::vector<std::uint32_t> discoveryPeers, bool mayBootstrap,
    JournalState state, Random random, QuorumTimings timings, std::uint64_t nowMillis)
    : m_id(id)
    , m_bootstrapPeers(mayBootstrap ? discoveryPeers : std::vector<std::uint32_t> {})
    , m_discoveryPeers(discoveryPeers.begin(), discoveryPeers.end())
    , m_mayBootstrap(mayBootstrap)
    , m_random(std::move(random))
    , m_timings(timings)
    , m_disk(state.disk)
    , m_vote(state.vote)
    , m_snapshot(std::move(state.snapshot))
    , m_log(std::move(state.entries))
    , m_cluster(m_snapshot.cluster)
    , m_commitIndex(m_snapshot.index)
    , m_outputIndex(m_snapshot.index)
    , m_nowMillis(nowMillis)
{
    m_probe = m_random() | 1;
    m_durableIndex = lastIndex();
    m_configurations[m_snapshot.index] = m_snapshot.configuration;
    for (std::size_t offset = 0; offset < m_log.size(); ++offset)
        recordConfiguration(m_snapshot.index + 1 + offset, m_log[offset]);
    if (m_snapshot.index > 0)
        m_output.restored = m_snapshot;
    m_electionDueMillis
        = m_nowMillis + m_timings.initialElectionTimeoutMillis + m_random() % m_timings.initialElectionTimeoutMillis;
}

void QuorumCore::receive(const QuorumMessage& message, std::uint64_t nowMillis, bool isTransferring)
{
    m_nowMillis = nowMillis;
    m_isTransferring = isTransferring;
    if (message.to != m_id || message.from == m_id)
        return;
    const bool otherCluster = m_cluster != 0 && message.cluster != 0 && message.cluster != m_cluster;
    if (otherCluster)
        return;
    if (isReply(message.kind))
        recordLostDisk(message);
    const bool ignoresTerm = message.kind == MessageKind::Hello || message.kind == MessageKind::HelloReply
        || message.kind == MessageKind::PreVote || (message.kind == MessageKind::PreVoteReply && message.granted);
    if (!ignoresTerm && message.term > m_vote.term)
        becomeFollower(message.term, 0);
    (this->*handlers[static_cast<std::size_t>(message.kind)])(message);
}

void QuorumCore::tick(std::uint64_t nowMillis)
{
    m_nowMillis = nowMillis;
    if (m_role == QuorumRole::Leader) {
        if (!hasQuorumContact(2 * m_timings.electionTimeoutMillis)) {
            becomeFollower(m_vote.term, 0); // check-quorum: a leader that is cut off from the quorum steps down
            return;
        }
        if (m_transferTarget != 0 && m_nowMillis >= m_transferDeadlineMillis)
            m_transferTarget = 0;
        if (m_nowMillis >= m_heartbeatDueMillis) {
            m_heartbeatDueMillis = m_nowMillis + m_timings.heartbeatIntervalMillis;
            removeSilentLearners();
            adjustVoters();
            replicateToAll(true);
            // A leader may have been elected while its removal from the voters was under way.
            const bool isRemoved = hasStableConfiguration() && !isVoter();
            if (isLeaving() || isRemoved)
                transferLeadership();
        }
        return;
    }
    if (m_nowMillis >= m_heartbeatDueMillis && lacksLeader()) {
        m_heartbeatDueMillis = m_nowMillis + m_timings.heartbeatIntervalMillis;
        sendHello();
        bootstrapIfAllEmpty();
    } else if (m_nowMillis >= m_heartbeatDueMillis && isLeaving()) {
        requestLeave();
    }
    if (m_nowMillis >= m_electionDueMillis)
        startElection(ElectionCause::LeaderSilent);
}

std::optional<std::uint64_t> QuorumCore::propose(std::string command)
{
    if (m_role != QuorumRole::Leader || m_transferTarget != 0
        || lastIndex() - m_commitIndex >= m_timings.maximumUncommittedEntries)
        return std::nullopt;
    append({ m_vote.term, EntryKind::Command, 0, {}, std::move(command) });
    replicateToAll(false);
    return lastIndex();
}

std::optional<std::pair<std::uint64_t, std::uint64_t>> QuorumCore::uncommittedEntry(const std::string& command) const
{
    if (m_role != QuorumRole::Leader)
        return std::nullopt;
    for (std::uint64_t index = m_commitIndex + 1; index <= lastIndex(); ++index) {
        const QuorumEntry& entry = m_log[index - m_snapshot.index - 1];
        if (entry.kind == EntryKind::Command && entry.payload == command)
            return std::pair { index, entry.term };
    }
    return std::nullopt;
}

void QuorumCore::transferLeadership()
{
    if (m_role != QuorumRole::Leader || m_transferTarget != 0)
        return;
    std::uint64_t bestMatch = 0;
    for (const auto& [peer, progress] : m_progress) {
        const bool better = progress.matchIndex > bestMatch || m_transferTarget == 0;
        if (!better || isLeaving(progress) || !hasRecentContact(peer, m_timings.electionTimeoutMillis)
            || !configuration().contains(peer, progress.disk))
            continue;
        bestMatch = progress.matchIndex;
        m_transferTarget = peer;
    }
    m_transferDeadlineMillis = m_nowMillis + m_timings.electionTimeoutMillis;
    continueLeadershipTransfer();
}

void QuorumCore::continueLeadershipTransfer()
{
    if (m_transferTarget != 0 && m_progress[m_transferTarget].matchIndex == lastIndex())
        send(makeMessage(MessageKind::TakeOver, m_transferTarget));
}

QuorumOutput QuorumCore::takeOutput()
{
    if (m_voteChanged || m_snapshotChanged || m_firstChangedIndex) {
        JournalRecord record;
        if (m_snapshotChanged)
            record.snapshot = m_snapshot;
        if (m_voteChanged)
            record.vote = m_vote;
        if (m_firstChangedIndex && *m_firstChangedIndex <= lastIndex()) {
            record.firstIndex = *m_firstChangedIndex;
            record.entries.assign(m_log.begin() + (*m_firstChangedIndex - m_snapshot.index - 1), m_log.end());
        }
        m_output.record = std::move(record);
    }
    m_voteChanged = false;
    m_snapshotChanged = false;
    m_firstChangedIndex.reset();
    for (; m_outputIndex < m_commitIndex; ++m_outputIndex)
        m_output.committed.emplace_back(m_outputIndex + 1, m_log[m_outputIndex - m_snapshot.index]);
    return std::exchange(m_output, {});
}

void QuorumCore::confirmDurable()
{
    m_durableIndex = lastIndex();
    advanceCommit();
}

void QuorumCore::compact(std::uint64_t index, std::string state)
{
    if (index <= m_snapshot.index || index > m_outputIndex)
        return;
    QuorumSnapshot snapshot { index, termAt(index), m_cluster, {}, std::move(state) };
    snapshot.configuration = std::prev(m_configurations.upper_bound(index))->second;
    m_log.erase(m_log.begin(), m_log.begin() + (index - m_snapshot.index));
    m_snapshot = std::move(snapshot);
    m_configurations.erase(m_configurations.begin(), m_configurations.upper_bound(index));
    m_configurations[index] = m_snapshot.configuration;
}

JournalRecord QuorumCore::completeRecord() const
{
    JournalRecord record;
    record.disk = m_disk;
    record.snapshot = m_snapshot;
    record.vote = m_vote;
    record.firstIndex = m_snapshot.index + 1;
    record.entries = m_log;
    return record;
}

bool QuorumCore::isActiveLeader() const
{
    return m_role == QuorumRole::Leader && m_commitIndex >= m_termStartIndex
        && hasQuorumContact(2 * m_timings.electionTimeoutMillis);
}

bool QuorumCore::isCurrent() const
{
    if (m_role == QuorumRole::Leader)
        return isActiveLeader();
    const bool hasContact
        = m_leaderContactMillis != 0 && m_nowMillis - m_leaderContactMillis <= m_timings.maximumStateAgeMillis;
    return hasContact && !isLogEmpty() && m_commitIndex >= m_leaderCommitIndex;
}

QuorumMessage QuorumCore::makeMessage(MessageKind kind, std::uint32_t to) const
{
    QuorumMessage result;
    result.kind = kind;
    result.from = m_id;
    result.disk = m_disk;
    result.to = to;
    result.cluster = m_cluster;
    result.term = m_vote.term;
    result.probe = m_probe;
    return result;
}

void QuorumCore::sendReply(const QuorumMessage& request, MessageKind kind, bool granted, std::uint64_t index)
{
    QuorumMessage reply = makeMessage(kind, request.from);
    reply.granted = granted;
    reply.index = index;
    reply.echo = request.echo;
    reply.probe = request.probe;
    send(std::move(reply));
}

void QuorumCore::broadcast(const QuorumMessage& message)
{
    for (const std::uint32_t peer : knownPeers()) {
        send(message);
        m_output.messages.back().to = peer;
    }
}

std::set<std::uint32_t> QuorumCore::knownPeers() const
{
    std::set<std::uint32_t> ids = m_discoveryPeers;
    for (const auto* voters : { &configuration().voters, &configuration().joining }) {
        for (const auto& [id, disk] : *voters)
            ids.insert(id);
    }
    ids.erase(m_id);
    return ids;
}

void QuorumCore::addDiscoveryPeers(const std::vector<std::uint32_t>& discoveryPeers)
{
    for (const std::uint32_t peer : discoveryPeers) {
        if (peer != m_id && m_discoveryPeers.size() < maximumDiscoveryPeers)
            m_discoveryPeers.insert(peer);
    }
}

bool QuorumCore::lacksLeader() const
{
    return m_role != QuorumRole::Leader
        && (m_leaderContactMillis == 0 || m_nowMillis - m_leaderContactMillis > 2 * m_timings.electionTimeoutMillis);
}

// The leader while its last contact here is recent, this instance included; 0 when there is none.
std::uint32_t QuorumCore::contactedLeader() const
{
    if (m_role == QuorumRole::Leader)
        return isActiveLeader() ? m_id : 0;
    const bool isRecent
        = m_leaderContactMillis != 0 && m_nowMillis - m_leaderContactMillis <= m_timings.electionTimeoutMillis;
    return isRecent ? m_leader : 0;
}

// Looks for the quorum: a leader that receives the hello starts to send its log, and every receiver replies with the
// voters that it knows.
void QuorumCore::sendHello()
{
    QuorumMessage hello = makeMessage(MessageKind::Hello, 0);
    hello.echo = m_disk;
    hello.index = lastIndex();
    hello.logTerm = termAt(lastIndex());
    broadcast(hello);
}

// Bootstraps a cluster only when every bootstrap peer with a disk has replied, to this very disk, that its log is
// empty.
void QuorumCore::bootstrapIfAllEmpty()
{
    if (!m_mayBootstrap || !isLogEmpty())
        return;
    for (const std::uint32_t peer : m_bootstrapPeers) {
        if (m_disklessPeers.contains(peer))
            continue;
        if (peer < m_id || !m_grantedBy.contains(peer))
            return; // the instance with the lowest id bootstraps
    }
    VoterMap voters;
    for (const std::uint32_t peer : m_bootstrapPeers) {
        if (m_grantedBy.contains(peer))
            voters[peer] = m_grantedBy[peer];
    }
    m_grantedBy.clear();
    voters[m_id] = m_disk;
    recordVote(m_vote.term + 1, 0);
    append({ m_vote.term, EntryKind::Bootstrap, m_random() | 1, std::move(voters), {} });
    m_electionDueMillis = m_nowMillis;
}

void QuorumCore::onHello(const QuorumMessage& hello)
{
    trackLearner(hello);
    sendReply(hello, MessageKind::HelloReply, isLogEmpty(), lastIndex());
    m_output.messages.back().logTerm = termAt(lastIndex());
    QuorumEntry entry;
    entry.voters = configuration().voters;
    m_output.messages.back().entries.push_back(std::move(entry));
    m_output.messages.back().leader = contactedLeader();
    recordStartupVoter(hello);
}

void QuorumCore::onHelloReply(const QuorumMessage& reply)
{
    for (const auto& entry : reply.entries) {
        for (const auto& [id, disk] : entry.voters)
            addDiscoveryPeers({ id });
    }
    if (reply.echo != m_disk)
        return;
    recordStartupVoter(reply);
    if (!isLogEmpty())
        return;
    if (reply.disk == 0)
        m_disklessPeers.insert(reply.from);
    if (reply.granted)
        m_grantedBy[reply.from] = reply.disk;
    else
        m_grantedBy.erase(reply.from);
}

} // namespace yuccahook::control
