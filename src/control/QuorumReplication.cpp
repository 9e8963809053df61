#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

bool makesConfiguration(EntryKind kind)
{
    return kind == EntryKind::Bootstrap || kind == EntryKind::Admit || kind == EntryKind::Settled;
}

} // namespace

// The log.

std::uint64_t QuorumCore::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_snapshot.index || index > lastIndex())
        return 0;
    return m_log[index - m_snapshot.index - 1].term;
}

void QuorumCore::rememberWrite(std::uint64_t firstIndex)
{
    m_writeFrom = m_writeFrom ? std::min(*m_writeFrom, firstIndex) : firstIndex;
}

void QuorumCore::append(QuorumEntry entry)
{
    rememberWrite(lastIndex() + 1);
    m_log.push_back(std::move(entry));
    noteConfiguration(lastIndex(), m_log.back());
}

void QuorumCore::replaceFrom(std::uint64_t index, const std::vector<QuorumEntry>& entries, std::size_t first)
{
    rememberWrite(index);
    m_durable = std::min(m_durable, index - 1);
    m_log.resize(index - m_snapshot.index - 1);
    m_configurations.erase(m_configurations.lower_bound(index), m_configurations.end());
    for (std::size_t offset = first; offset < entries.size(); ++offset)
        append(entries[offset]);
}

void QuorumCore::noteConfiguration(std::uint64_t index, const QuorumEntry& entry)
{
    if (!makesConfiguration(entry.kind))
        return;
    if (entry.kind == EntryKind::Bootstrap)
        m_cluster = entry.cluster;
    if (entry.kind == EntryKind::Admit)
        m_configurations[index] = { configuration().voters, entry.voters };
    else
        m_configurations[index] = { entry.voters, {} };
    for (const auto* voters : { &configuration().voters, &configuration().joining }) {
        for (const auto& [id, disk] : *voters) {
            if (m_role == QuorumRole::Leader && id != m_id)
                m_progress.try_emplace(id, Progress { disk, 0, lastIndex() + 1, 0, m_now, false });
        }
    }
}

void QuorumCore::replicate(std::uint32_t peer)
{
    Progress& progress = m_progress[peer];
    if (progress.next <= m_snapshot.index) {
        sendSnapshot(peer);
        return;
    }
    QuorumMessage batch = message(MessageKind::Append, peer);
    batch.index = progress.next - 1;
    batch.logTerm = termAt(batch.index);
    batch.commit = m_commit;
    batch.echo = m_now;
    const auto first = m_log.begin() + (batch.index - m_snapshot.index);
    const auto count = std::min<std::size_t>(m_log.end() - first, m_timings.entriesInMessage);
    batch.entries.assign(first, first + static_cast<std::ptrdiff_t>(count));
    progress.toldCommit = m_commit;
    progress.waiting = true;
    send(std::move(batch));
}

void QuorumCore::sendSnapshot(std::uint32_t peer)
{
    QuorumMessage whole = message(MessageKind::Snapshot, peer);
    whole.commit = m_commit;
    whole.echo = m_now;
    whole.snapshot = m_snapshot;
    m_progress[peer].waiting = true;
    send(std::move(whole));
}

// One message at a time to each peer; entries that come meanwhile go into the next. A heartbeat repeats a lost one.
void QuorumCore::replicateToAll(bool evenWaiting)
{
    for (const auto& [peer, progress] : m_progress) {
        if (evenWaiting || !progress.waiting)
            replicate(peer);
    }
}

void QuorumCore::onAppend(const QuorumMessage& batch)
{
    if (batch.term < m_vote.term) {
        reply(batch, MessageKind::AppendReply, false, lastIndex());
        return;
    }
    follow(batch.term, batch.from);
    m_leaderHeardMillis = m_now;
    m_leaderCommit = batch.commit;
    resetElectionTimer();
    if (batch.index > lastIndex() || (batch.index >= m_snapshot.index && termAt(batch.index) != batch.logTerm)) {
        const std::uint64_t hint = std::min(lastIndex(), batch.index > 0 ? batch.index - 1 : 0);
        reply(batch, MessageKind::AppendReply, false, std::max(hint, m_commit));
        return;
    }
    for (std::size_t offset = 0; offset < batch.entries.size(); ++offset) {
        const std::uint64_t index = batch.index + 1 + offset;
        if (index <= m_snapshot.index || (index <= lastIndex() && termAt(index) == batch.entries[offset].term))
            continue;
        m_contradicts = m_contradicts || index <= m_commit;
        if (m_contradicts)
            return;
        replaceFrom(index, batch.entries, offset);
        break;
    }
    const std::uint64_t agreed = std::max(batch.index + batch.entries.size(), m_commit);
    commitTo(std::min(batch.commit, agreed));
    reply(batch, MessageKind::AppendReply, true, agreed);
}

void QuorumCore::onSnapshot(const QuorumMessage& whole)
{
    if (whole.term < m_vote.term) {
        reply(whole, MessageKind::AppendReply, false, lastIndex());
        return;
    }
    follow(whole.term, whole.from);
    m_leaderHeardMillis = m_now;
    m_leaderCommit = whole.commit;
    resetElectionTimer();
    // Entries after the snapshot may have been acknowledged; they stay when the log agrees with it.
    const bool agrees = whole.snapshot.index <= lastIndex() && termAt(whole.snapshot.index) == whole.snapshot.term;
    if (agrees) {
        commitTo(whole.snapshot.index);
    } else if (whole.snapshot.index > m_commit) {
        m_snapshot = whole.snapshot;
        m_cluster = m_snapshot.cluster;
        m_log.clear();
        m_configurations = { { m_snapshot.index, m_snapshot.configuration } };
        m_commit = m_snapshot.index;
        m_taken = m_snapshot.index;
        m_output.committed.clear();
        m_output.restored = m_snapshot;
        m_snapshotChanged = true;
        m_writeFrom.reset();
    }
    reply(whole, MessageKind::AppendReply, true, m_commit);
}

void QuorumCore::onAppendReply(const QuorumMessage& answer)
{
    if (m_role != QuorumRole::Leader || answer.term != m_vote.term)
        return;
    const auto known = m_progress.find(answer.from);
    if (known == m_progress.end())
        return;
    Progress& progress = known->second;
    if (progress.disk != answer.disk)
        progress = { answer.disk, 0, progress.next, 0, 0, false }; // another disk holds nothing that was promised
    progress.heardMillis = std::max(progress.heardMillis, answer.echo);
    progress.waiting = false;
    if (!answer.granted) {
        const std::uint64_t refused = progress.next;
        progress.next = std::min(std::max(progress.match, answer.index), lastIndex()) + 1;
        if (progress.next != refused)
            replicate(answer.from); // else the next heartbeat tries again
        return;
    }
    m_contradicts = m_contradicts || answer.index > lastIndex();
    if (m_contradicts)
        return;
    progress.match = std::max(progress.match, answer.index);
    progress.next = progress.match + 1;
    advanceCommit();
    reviewVoters();
    const bool knowsCommit = progress.toldCommit >= std::min(m_commit, progress.match);
    if (!progress.waiting && (progress.next <= lastIndex() || !knowsCommit))
        replicate(answer.from);
    if (answer.from == m_handOverTo)
        continueHandOver();
}

// Commits by counting only what this term wrote; all before it follows.
void QuorumCore::advanceCommit()
{
    if (m_role != QuorumRole::Leader)
        return;
    std::vector<std::uint64_t> reached { m_durable };
    for (const auto& [peer, progress] : m_progress)
        reached.push_back(std::min(progress.match, lastIndex()));
    std::sort(reached.rbegin(), reached.rend());
    for (const std::uint64_t index : reached) {
        if (index <= m_commit || termAt(index) != m_vote.term)
            break;
        VoterMap holders;
        if (m_durable >= index)
            holders[m_id] = m_disk;
        for (const auto& [peer, progress] : m_progress) {
            if (progress.match >= index)
                holders[peer] = progress.disk;
        }
        if (!configuration().isQuorum(holders))
            continue;
        commitTo(index);
        replicateToAll(false);
        break;
    }
    const auto& [index, latest] = *m_configurations.rbegin();
    if (!latest.joining.empty() && index <= m_commit && m_commit >= m_termStart) {
        append({ m_vote.term, EntryKind::Settled, 0, latest.joining, {} });
        replicateToAll(false);
    }
}

void QuorumCore::commitTo(std::uint64_t index) { m_commit = std::max(m_commit, index); }

} // namespace yuccahook::control
