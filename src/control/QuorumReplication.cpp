#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

bool changesConfiguration(EntryKind kind)
{
    return kind == EntryKind::Bootstrap || kind == EntryKind::Admit || kind == EntryKind::Settled;
}

} // namespace

std::uint64_t QuorumCore::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_snapshot.index || index > lastIndex())
        return 0;
    return m_log[index - m_snapshot.index - 1].term;
}

void QuorumCore::markChanged(std::uint64_t firstIndex)
{
    m_firstChangedIndex = m_firstChangedIndex ? std::min(*m_firstChangedIndex, firstIndex) : firstIndex;
}

void QuorumCore::append(QuorumEntry entry)
{
    markChanged(lastIndex() + 1);
    m_log.push_back(std::move(entry));
    recordConfiguration(lastIndex(), m_log.back());
}

void QuorumCore::replaceEntriesFrom(std::uint64_t index, const std::vector<QuorumEntry>& entries, std::size_t first)
{
    markChanged(index);
    m_durableIndex = std::min(m_durableIndex, index - 1);
    m_log.resize(index - m_snapshot.index - 1);
    m_configurations.erase(m_configurations.lower_bound(index), m_configurations.end());
    for (std::size_t offset = first; offset < entries.size(); ++offset)
        append(entries[offset]);
}

void QuorumCore::recordConfiguration(std::uint64_t index, const QuorumEntry& entry)
{
    if (!changesConfiguration(entry.kind))
        return;
    if (entry.kind == EntryKind::Bootstrap)
        m_cluster = entry.cluster;
    if (entry.kind == EntryKind::Admit)
        m_configurations[index] = { configuration().voters, entry.voters };
    else
        m_configurations[index] = { entry.voters, {} };
    forgetFormerDisks();
    for (const auto* voters : { &configuration().voters, &configuration().joining }) {
        for (const auto& [id, disk] : *voters) {
            if (m_role == QuorumRole::Leader && id != m_id)
                m_progress.try_emplace(id, Progress { disk, 0, lastIndex() + 1, 0, m_nowMillis });
        }
    }
}

void QuorumCore::replicate(std::uint32_t peer)
{
    Progress& progress = m_progress[peer];
    if (progress.nextIndex <= m_snapshot.index) {
        sendSnapshot(peer);
        return;
    }
    QuorumMessage message = makeMessage(MessageKind::Append, peer);
    message.index = progress.nextIndex - 1;
    message.logTerm = termAt(message.index);
    message.commit = m_commitIndex;
    message.echo = m_nowMillis;
    const auto first = m_log.begin() + (message.index - m_snapshot.index);
    std::size_t bytes = 0;
    for (auto entry = first; entry != m_log.end() && message.entries.size() < m_timings.maximumEntriesPerMessage;
         ++entry) {
        bytes += entry->payload.size();
        if (bytes > m_timings.maximumBytesPerMessage && !message.entries.empty())
            break;
        message.entries.push_back(*entry);
    }
    progress.sentCommitIndex = m_commitIndex;
    progress.awaitsReply = true;
    progress.awaitedIndex = message.index + message.entries.size();
    send(std::move(message));
}

void QuorumCore::sendSnapshot(std::uint32_t peer)
{
    QuorumMessage message = makeMessage(MessageKind::Snapshot, peer);
    message.commit = m_commitIndex;
    message.echo = m_nowMillis;
    message.snapshot = m_snapshot;
    m_progress[peer].awaitsReply = true;
    m_progress[peer].awaitedIndex = m_snapshot.index;
    send(std::move(message));
}

// An append without entries, which every log agrees with. Its reply shows that the peer can be reached.
void QuorumCore::sendHeartbeat(std::uint32_t peer)
{
    QuorumMessage message = makeMessage(MessageKind::Append, peer);
    message.commit = m_commitIndex;
    message.echo = m_nowMillis;
    send(std::move(message));
}

// Each peer has at most one unanswered append with entries; those that arrive meanwhile go into the next one. A peer
// that has not answered gets heartbeats only, however much it lacks. The reply to one shows that an append was lost,
// unless that is still being transferred.
void QuorumCore::replicateToAll(bool evenUnanswered)
{
    for (const auto& [peer, progress] : m_progress) {
        if (!progress.awaitsReply)
            replicate(peer);
        else if (evenUnanswered)
            sendHeartbeat(peer);
    }
}

void QuorumCore::onAppend(const QuorumMessage& message)
{
    if (message.term < m_vote.term) {
        sendReply(message, MessageKind::AppendReply, false, lastIndex());
        return;
    }
    becomeFollower(message.term, message.from);
    m_contactLeader = message.from;
    m_leaderContactMillis = m_nowMillis;
    m_leaderCommitIndex = std::max(m_leaderCommitIndex, message.commit); // messages may overtake one another
    resetElectionTimer();
    if (message.index > lastIndex()
        || (message.index >= m_snapshot.index && termAt(message.index) != message.logTerm)) {
        const std::uint64_t hint = std::min(lastIndex(), message.index > 0 ? message.index - 1 : 0);
        sendReply(message, MessageKind::AppendReply, false, std::max(hint, m_commitIndex));
        return;
    }
    for (std::size_t offset = 0; offset < message.entries.size(); ++offset) {
        const std::uint64_t index = message.index + 1 + offset;
        if (index <= m_snapshot.index || (index <= lastIndex() && termAt(index) == message.entries[offset].term))
            continue;
        m_hasLogConflict = m_hasLogConflict || index <= m_commitIndex;
        if (m_hasLogConflict)
            return;
        replaceEntriesFrom(index, message.entries, offset);
        break;
    }
    const std::uint64_t agreedIndex = std::max(message.index + message.entries.size(), m_commitIndex);
    advanceCommitTo(std::min(message.commit, agreedIndex));
    sendReply(message, MessageKind::AppendReply, true, agreedIndex);
}

void QuorumCore::onSnapshot(const QuorumMessage& message)
{
    if (message.term < m_vote.term) {
        sendReply(message, MessageKind::AppendReply, false, lastIndex());
        return;
    }
    becomeFollower(message.term, message.from);
    m_contactLeader = message.from;
    m_leaderContactMillis = m_nowMillis;
    m_leaderCommitIndex = std::max(m_leaderCommitIndex, message.commit); // messages may overtake one another
    resetElectionTimer();
    // Entries after the snapshot may have been acknowledged, so they are kept when the log agrees with the snapshot.
    const bool agrees
        = message.snapshot.index <= lastIndex() && termAt(message.snapshot.index) == message.snapshot.term;
    if (agrees) {
        advanceCommitTo(message.snapshot.index);
    } else if (message.snapshot.index > m_commitIndex) {
        m_snapshot = message.snapshot;
        m_cluster = m_snapshot.cluster;
        m_log.clear();
        m_configurations = { { m_snapshot.index, m_snapshot.configuration } };
        forgetFormerDisks();
        m_commitIndex = m_snapshot.index;
        m_outputIndex = m_snapshot.index;
        m_output.committed.clear();
        m_output.restored = m_snapshot;
        m_snapshotChanged = true;
        m_firstChangedIndex.reset();
    }
    sendReply(message, MessageKind::AppendReply, true, m_commitIndex);
}

void QuorumCore::onAppendReply(const QuorumMessage& reply)
{
    if (m_role != QuorumRole::Leader || reply.term != m_vote.term)
        return;
    const auto known = m_progress.find(reply.from);
    if (known == m_progress.end())
        return;
    Progress& progress = known->second;
    if (progress.disk != reply.disk) {
        // A reply to an earlier request may be of the disk before. Those of an earlier release have no probe.
        if (reply.probe != 0 && reply.probe != m_probe)
            return;
        // another disk has none of the acknowledged entries
        progress = { reply.disk, 0, progress.nextIndex, 0, 0 };
    }
    progress.lastContactMillis = std::max(progress.lastContactMillis, reply.echo);
    progress.lastAnsweredMillis = std::max(progress.lastAnsweredMillis, reply.echo);
    const bool isHeartbeatReply = reply.granted && reply.index < progress.awaitedIndex;
    progress.awaitsReply = progress.awaitsReply && isHeartbeatReply && m_isTransferring;
    if (!reply.granted) {
        const std::uint64_t refusedIndex = progress.nextIndex;
        progress.nextIndex = std::min(std::max(progress.matchIndex, reply.index), lastIndex()) + 1;
        if (progress.nextIndex != refusedIndex)
            replicate(reply.from); // otherwise the next heartbeat retries
        return;
    }
    m_hasLogConflict = m_hasLogConflict || reply.index > lastIndex();
    if (m_hasLogConflict)
        return;
    progress.matchIndex = std::max(progress.matchIndex, reply.index);
    progress.nextIndex = progress.matchIndex + 1;
    advanceCommit();
    adjustVoters();
    const bool isCommitSent = progress.sentCommitIndex >= std::min(m_commitIndex, progress.matchIndex);
    if (!progress.awaitsReply && (progress.nextIndex <= lastIndex() || !isCommitSent))
        replicate(reply.from);
    if (reply.from == m_transferTarget)
        continueLeadershipTransfer();
}

// Whether a quorum has the entry. A quorum without a lost disk must consist of disks that still existed after that
// loss, or two quorums without each other's lost disk could have no disk in common.
bool QuorumCore::isReplicated(std::uint64_t index) const
{
    VoterMap replicas;
    VoterMap recentReplicas;
    if (m_durableIndex >= index)
        replicas[m_id] = recentReplicas[m_id] = m_disk;
    for (const auto& [peer, progress] : m_progress) {
        if (progress.matchIndex < index)
            continue;
        replicas[peer] = progress.disk;
        if (progress.lastAnsweredMillis > m_lostDisksSinceMillis)
            recentReplicas[peer] = progress.disk;
    }
    return configuration().isQuorum(replicas) || configuration().isQuorum(recentReplicas, m_lostDisks);
}

// Only entries of the current term are committed by counting replicas; all earlier entries are committed with them.
void QuorumCore::advanceCommit()
{
    if (m_role != QuorumRole::Leader)
        return;
    std::vector<std::uint64_t> replicatedIndexes { m_durableIndex };
    for (const auto& [peer, progress] : m_progress)
        replicatedIndexes.push_back(std::min(progress.matchIndex, lastIndex()));
    std::sort(replicatedIndexes.rbegin(), replicatedIndexes.rend());
    for (const std::uint64_t index : replicatedIndexes) {
        if (index <= m_commitIndex || termAt(index) != m_vote.term)
            break;
        if (!isReplicated(index))
            continue;
        advanceCommitTo(index);
        replicateToAll(false);
        break;
    }
    const auto& [index, latest] = *m_configurations.rbegin();
    if (!latest.joining.empty() && index <= m_commitIndex && m_commitIndex >= m_termStartIndex) {
        append({ m_vote.term, EntryKind::Settled, 0, latest.joining, {} });
        replicateToAll(false);
    }
}

void QuorumCore::advanceCommitTo(std::uint64_t index) { m_commitIndex = std::max(m_commitIndex, index); }

} // namespace yuccahook::control
