#include "control/QuorumCore.h"

#include <algorithm>

namespace yuccahook::control {

namespace {

constexpr std::size_t maximumContacts = 32; // several times the most instances of a site
constexpr std::size_t leastVoters = 3; // below it no loss is survived
constexpr std::uint64_t learnerForgottenMillis = 10'000; // as a silent voter

bool makesConfiguration(EntryKind kind)
{
    return kind == EntryKind::Bootstrap || kind == EntryKind::Admit || kind == EntryKind::Settled;
}

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
    if (m_now < m_electionAtMillis)
        return;
    resetElectionTimer();
    if (!votes())
        return;
    if (m_timings.preVote)
        startPreVote();
    else
        campaign();
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
        const bool heard = m_now - progress.heardMillis <= m_timings.electionMillis;
        if (!better || !heard || !configuration().contains(peer, progress.disk))
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

void QuorumCore::addContacts(const std::vector<std::uint32_t>& contacts)
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
    reply(hello, MessageKind::HelloReply, isEmpty());
    QuorumEntry known;
    known.voters = configuration().voters;
    m_output.messages.back().entries.push_back(std::move(known));
}

void QuorumCore::onHelloReply(const QuorumMessage& answer)
{
    for (const auto& entry : answer.entries) {
        for (const auto& [id, disk] : entry.voters)
            addContacts({ id });
    }
    if (!isEmpty() || answer.echo != m_disk)
        return;
    if (answer.disk == 0)
        m_relays.insert(answer.from);
    if (answer.granted)
        m_granted[answer.from] = answer.disk;
    else
        m_granted.erase(answer.from);
}

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
