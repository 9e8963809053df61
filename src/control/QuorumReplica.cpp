#include "control/QuorumReplica.h"

namespace yuccahook::control {

QuorumReplica::QuorumReplica(
    Options options, FileLayer& files, QuorumHost& host, QuorumCore::Random random, std::uint64_t nowMillis)
    : m_options(std::move(options))
    , m_files(files)
    , m_host(host)
    , m_random(std::move(random))
{
    open(nowMillis);
}

void QuorumReplica::open(std::uint64_t nowMillis)
{
    m_core.reset();
    m_appliedIndex = 0;
    m_bytesAfterCompaction = 0;
    m_journal.emplace(m_files);
    auto state = m_journal->open(m_random() | 1);
    if (!state)
        return;
    m_core.emplace(m_options.id, m_options.discoveryPeers, m_options.mayBootstrap, std::move(*state), m_random,
        m_options.timings, nowMillis);
    m_core->addDiscoveryPeers({ m_addedPeers.begin(), m_addedPeers.end() });
    flush();
}

void QuorumReplica::reopenIfDue(std::uint64_t nowMillis)
{
    if (!fault() || fault()->error != JournalError::File)
        return;
    if (!m_reopenDueMillis)
        m_reopenDueMillis = nowMillis + m_options.reopenMillis;
    if (nowMillis < *m_reopenDueMillis)
        return;
    m_reopenDueMillis.reset();
    m_host.reset();
    open(nowMillis);
}

void QuorumReplica::receive(const QuorumMessage& message, std::uint64_t nowMillis)
{
    if (!isRunning())
        return;
    m_core->receive(message, nowMillis, m_host.isTransferring(message.from));
    flush();
}

void QuorumReplica::tick(std::uint64_t nowMillis)
{
    reopenIfDue(nowMillis);
    if (!isRunning())
        return;
    m_core->tick(nowMillis);
    flush();
}

std::optional<std::pair<std::uint64_t, std::uint64_t>> QuorumReplica::propose(std::string command)
{
    const auto index = isRunning() ? m_core->propose(std::move(command)) : std::nullopt;
    if (!index)
        return std::nullopt;
    return std::pair { *index, m_core->term() };
}

std::optional<std::pair<std::uint64_t, std::uint64_t>> QuorumReplica::propose(EncodedCommand command)
{
    if (command.isRepeatable && isRunning()) {
        if (const auto underWay = m_core->uncommittedEntry(command.bytes))
            return underWay;
    }
    return propose(std::move(command.bytes));
}

void QuorumReplica::addDiscoveryPeers(const std::vector<std::uint32_t>& discoveryPeers)
{
    m_addedPeers.insert(discoveryPeers.begin(), discoveryPeers.end());
    if (m_core)
        m_core->addDiscoveryPeers(discoveryPeers);
}

void QuorumReplica::transferLeadership()
{
    if (!isRunning())
        return;
    m_core->transferLeadership();
    flush();
}

void QuorumReplica::leave()
{
    if (!isRunning())
        return;
    m_core->leave();
    flush();
}

void QuorumReplica::flush()
{
    if (!isRunning())
        return;
    for (QuorumOutput output = m_core->takeOutput(); !output.isEmpty(); output = m_core->takeOutput()) {
        if (output.record && !m_journal->write(*output.record))
            return; // nothing that depends on the record may leave this instance
        m_core->confirmDurable();
        for (const auto& message : output.messages)
            m_host.send(message);
        if (output.restored) {
            m_host.restore(*output.restored);
            m_appliedIndex = output.restored->index;
        }
        for (const auto& [index, entry] : output.committed) {
            m_host.apply(index, entry);
            m_appliedIndex = index;
        }
    }
    compactIfDue();
}

void QuorumReplica::compactIfDue()
{
    const bool hasManyEntries = m_appliedIndex >= m_core->snapshot().index + m_options.compactAfterEntries;
    const bool hasGrown = m_appliedIndex > m_core->snapshot().index
        && m_journal->bytes() >= m_bytesAfterCompaction + m_options.compactAfterBytes;
    if (!hasManyEntries && !hasGrown)
        return;
    m_core->compact(m_appliedIndex, m_host.saveState());
    m_journal->replace(m_core->completeRecord());
    m_bytesAfterCompaction = m_journal->bytes();
}

} // namespace yuccahook::control
