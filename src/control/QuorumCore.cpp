#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

constexpr std::size_t maximumContacts = 32; // several times the most instances of a site

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
};

QuorumCore::QuorumCore(std::uint32_t id, std::vector<std::uint32_t> contacts, bool founds, JournalState state,
    Random random, QuorumTimings timings, std::uint64_t nowMillis)
    : m_id(id)
    , m_founders(founds ? contacts : std::vector<std::uint32_t> {})
    , m_contacts(contacts.begin(), contacts.end())
    , m_founds(founds)
    , m_random(std::move(random))
    , m_timings(timings)
    , m_disk(state.disk)
    , m_vote(state.vote)
    , m_snapshot(std::move(state.snapshot))
    , m_log(std::move(state.entries))
    , m_cluster(m_snapshot.cluster)
    , m_commit(m_snapshot.index)
    , m_taken(m_snapshot.index)
    , m_now(nowMillis)
{
    m_durable = lastIndex();
    m_configurations[m_snapshot.index] = m_snapshot.configuration;
    for (std::size_t offset = 0; offset < m_log.size(); ++offset)
        noteConfiguration(m_snapshot.index + 1 + offset, m_log[offset]);
    if (m_snapshot.index > 0)
        m_output.restored = m_snapshot;
    m_electionAtMillis = m_now + m_timings.firstElectionMillis + m_random() % m_timings.firstElectionMillis;
}

void QuorumCore::receive(const QuorumMessage& received, std::uint64_t nowMillis)
{
    m_now = nowMillis;
    if (received.to != m_id || received.from == m_id)
        return;
    const bool otherCluster = m_cluster != 0 && received.cluster != 0 && received.cluster != m_cluster;
    if (otherCluster)
        return;
    const bool isProbe = received.kind == MessageKind::Hello || received.kind == MessageKind::HelloReply
        || received.kind == MessageKind::PreVote || (received.kind == MessageKind::PreVoteReply && received.granted);
    if (!isProbe && received.term > m_vote.term)
        follow(received.term, 0);
    (this->*handlers[static_cast<std::size_t>(received.kind)])(received);
}

void QuorumCore::tick(std::uint64_t nowMillis)
{
    m_now = nowMillis;
    if (m_role == QuorumRole::Leader) {
        if (!hasQuorumContact(2 * m_timings.electionMillis)) {
            follow(m_vote.term, 0); // check-quorum: a leader that is cut off stops leading
            return;
        }
        if (m_handOverTo != 0 && m_now >= m_handOverEndMillis)
            m_handOverTo = 0;
        if (m_now >= m_heartbeatAtMillis) {
            m_heartbeatAtMillis = m_now + m_timings.heartbeatMillis;
            forgetLearners();
            reviewVoters();
            replicateToAll(true);
        }
        return;
    }
    if (m_now >= m_heartbeatAtMillis && lacksLeader()) {
        m_heartbeatAtMillis = m_now + m_timings.heartbeatMillis;
        sayHello();
        foundIfAllAreEmpty();
    }
    if (m_now >= m_electionAtMillis)
        beginElection();
}

std::optional<std::uint64_t> QuorumCore::propose(std::string command)
{
    if (m_role != QuorumRole::Leader || m_handOverTo != 0 || lastIndex() - m_commit >= m_timings.uncommittedBound)
        return std::nullopt;
    append({ m_vote.term, EntryKind::Command, 0, {}, std::move(command) });
    replicateToAll(false);
    return lastIndex();
}

void QuorumCore::handOver()
{
    if (m_role != QuorumRole::Leader || m_handOverTo != 0)
        return;
    std::uint64_t best = 0;
    for (const auto& [peer, progress] : m_progress) {
        const bool better = progress.match > best || m_handOverTo == 0;
        if (!better || !isHeard(peer, m_timings.electionMillis) || !configuration().contains(peer, progress.disk))
            continue;
        best = progress.match;
        m_handOverTo = peer;
    }
    m_handOverEndMillis = m_now + m_timings.electionMillis;
    continueHandOver();
}

void QuorumCore::continueHandOver()
{
    if (m_handOverTo != 0 && m_progress[m_handOverTo].match == lastIndex())
        send(message(MessageKind::TakeOver, m_handOverTo));
}

QuorumOutput QuorumCore::takeOutput()
{
    if (m_voteChanged || m_snapshotChanged || m_writeFrom) {
        JournalRecord record;
        if (m_snapshotChanged)
            record.snapshot = m_snapshot;
        if (m_voteChanged)
            record.vote = m_vote;
        if (m_writeFrom && *m_writeFrom <= lastIndex()) {
            record.firstIndex = *m_writeFrom;
            record.entries.assign(m_log.begin() + (*m_writeFrom - m_snapshot.index - 1), m_log.end());
        }
        m_output.record = std::move(record);
    }
    m_voteChanged = false;
    m_snapshotChanged = false;
    m_writeFrom.reset();
    for (; m_taken < m_commit; ++m_taken)
        m_output.committed.emplace_back(m_taken + 1, m_log[m_taken - m_snapshot.index]);
    return std::exchange(m_output, {});
}

void QuorumCore::confirmDurable()
{
    m_durable = lastIndex();
    advanceCommit();
}

void QuorumCore::compact(std::uint64_t index, std::string state)
{
    if (index <= m_snapshot.index || index > m_taken)
        return;
    QuorumSnapshot snapshot { index, termAt(index), m_cluster, {}, std::move(state) };
    snapshot.configuration = std::prev(m_configurations.upper_bound(index))->second;
    m_log.erase(m_log.begin(), m_log.begin() + (index - m_snapshot.index));
    m_snapshot = std::move(snapshot);
    m_configurations.erase(m_configurations.begin(), m_configurations.upper_bound(index));
    m_configurations[index] = m_snapshot.configuration;
}

JournalRecord QuorumCore::wholeRecord() const
{
    JournalRecord record;
    record.disk = m_disk;
    record.snapshot = m_snapshot;
    record.vote = m_vote;
    record.firstIndex = m_snapshot.index + 1;
    record.entries = m_log;
    return record;
}

bool QuorumCore::leads() const
{
    return m_role == QuorumRole::Leader && m_commit >= m_termStart && hasQuorumContact(2 * m_timings.electionMillis);
}

bool QuorumCore::isCurrent() const
{
    if (m_role == QuorumRole::Leader)
        return leads();
    const bool heard = m_leaderHeardMillis != 0 && m_now - m_leaderHeardMillis <= m_timings.contactMillis;
    return heard && !isEmpty() && m_commit >= m_leaderCommit;
}

// Messages.

QuorumMessage QuorumCore::message(MessageKind kind, std::uint32_t to) const
{
    QuorumMessage built;
    built.kind = kind;
    built.from = m_id;
    built.disk = m_disk;
    built.to = to;
    built.cluster = m_cluster;
    built.term = m_vote.term;
    return built;
}

void QuorumCore::reply(const QuorumMessage& request, MessageKind kind, bool granted, std::uint64_t index)
{
    QuorumMessage answer = message(kind, request.from);
    answer.granted = granted;
    answer.index = index;
    answer.echo = request.echo;
    send(std::move(answer));
}

void QuorumCore::broadcast(const QuorumMessage& pattern)
{
    for (const std::uint32_t peer : electorate()) {
        send(pattern);
        m_output.messages.back().to = peer;
    }
}

std::set<std::uint32_t> QuorumCore::electorate() const
{
    std::set<std::uint32_t> ids = m_contacts;
    for (const auto* voters : { &configuration().voters, &configuration().joining }) {
        for (const auto& [id, disk] : *voters)
            ids.insert(id);
    }
    ids.erase(m_id);
    return ids;
}

void QuorumCore::addDiscoveryPeers(const std::vector<std::uint32_t>& contacts)
{
    for (const std::uint32_t contact : contacts) {
        if (contact != m_id && m_contacts.size() < maximumContacts)
            m_contacts.insert(contact);
    }
}

bool QuorumCore::lacksLeader() const
{
    return m_role != QuorumRole::Leader
        && (m_leaderHeardMillis == 0 || m_now - m_leaderHeardMillis > 2 * m_timings.electionMillis);
}

// Looks for the quorum: a leader that hears it sends its log, anyone else names those who vote.
void QuorumCore::sayHello()
{
    QuorumMessage hello = message(MessageKind::Hello, 0);
    hello.echo = m_disk;
    hello.index = lastIndex();
    hello.logTerm = termAt(lastIndex());
    broadcast(hello);
}

// Only when every founder with a disk says, to this very disk, that its log is empty.
void QuorumCore::foundIfAllAreEmpty()
{
    if (!m_founds || !isEmpty())
        return;
    for (const std::uint32_t founder : m_founders) {
        if (m_relays.contains(founder))
            continue;
        if (founder < m_id || !m_granted.contains(founder))
            return; // the lowest founds
    }
    VoterMap voters;
    for (const std::uint32_t founder : m_founders) {
        if (m_granted.contains(founder))
            voters[founder] = m_granted[founder];
    }
    m_granted.clear();
    voters[m_id] = m_disk;
    enterTerm(m_vote.term + 1, 0);
    append({ m_vote.term, EntryKind::Bootstrap, m_random() | 1, std::move(voters), {} });
    m_electionAtMillis = m_now;
}

void QuorumCore::onHello(const QuorumMessage& hello)
{
    noteLearner(hello);
    reply(hello, MessageKind::HelloReply, isEmpty(), lastIndex());
    m_output.messages.back().logTerm = termAt(lastIndex());
    QuorumEntry known;
    known.voters = configuration().voters;
    m_output.messages.back().entries.push_back(std::move(known));
    notePresent(hello);
}

void QuorumCore::onHelloReply(const QuorumMessage& answer)
{
    for (const auto& entry : answer.entries) {
        for (const auto& [id, disk] : entry.voters)
            addDiscoveryPeers({ id });
    }
    if (answer.echo != m_disk)
        return;
    notePresent(answer);
    if (!isEmpty())
        return;
    if (answer.disk == 0)
        m_relays.insert(answer.from);
    if (answer.granted)
        m_granted[answer.from] = answer.disk;
    else
        m_granted.erase(answer.from);
}

} // namespace yuccahook::control
