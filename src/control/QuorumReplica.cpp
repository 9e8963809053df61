#include "control/QuorumReplica.h"

namespace yuccahook::control {

QuorumReplica::QuorumReplica(
    Options options, FileLayer& files, QuorumHost& host, QuorumCore::Random random, std::uint64_t nowMillis)
    : m_options(std::move(options))
    , m_host(host)
    , m_journal(files)
{
    auto state = m_journal.open(random() | 1);
    if (!state)
        return;
    m_core.emplace(m_options.id, m_options.contacts, m_options.founds, std::move(*state), std::move(random),
        m_options.timings, nowMillis);
    flush();
}

void QuorumReplica::receive(const QuorumMessage& message, std::uint64_t nowMillis)
{
    if (!runs())
        return;
    m_core->receive(message, nowMillis);
    flush();
}

void QuorumReplica::tick(std::uint64_t nowMillis)
{
    if (!runs())
        return;
    m_core->tick(nowMillis);
    flush();
}

std::optional<std::pair<std::uint64_t, std::uint64_t>> QuorumReplica::propose(std::string command)
{
    const auto index = runs() ? m_core->propose(std::move(command)) : std::nullopt;
    if (!index)
        return std::nullopt;
    return std::pair { *index, m_core->term() };
}

void QuorumReplica::addDiscoveryPeers(const std::vector<std::uint32_t>& contacts)
{
    if (m_core)
        m_core->addDiscoveryPeers(contacts);
}

void QuorumReplica::handOver()
{
    if (!runs())
        return;
    m_core->handOver();
    flush();
}

void QuorumReplica::flush()
{
    if (!runs())
        return;
    for (QuorumOutput output = m_core->takeOutput(); !output.isEmpty(); output = m_core->takeOutput()) {
        if (output.record && !m_journal.write(*output.record))
            return; // nothing that depends on it may leave this instance
        m_core->confirmDurable();
        for (const auto& message : output.messages)
            m_host.send(message);
        if (output.restored) {
            m_host.restore(*output.restored);
            m_applied = output.restored->index;
        }
        for (const auto& [index, entry] : output.committed) {
            m_host.apply(index, entry);
            m_applied = index;
        }
    }
    compactWhenLong();
}

void QuorumReplica::compactWhenLong()
{
    const bool isLong = m_applied >= m_core->snapshot().index + m_options.compactEntries;
    const bool isLarge
        = m_applied > m_core->snapshot().index && m_journal.bytes() >= m_bytesAtSnapshot + m_options.compactBytes;
    if (!isLong && !isLarge)
        return;
    m_core->compact(m_applied, m_host.saveState());
    m_journal.replace(m_core->wholeRecord());
    m_bytesAtSnapshot = m_journal.bytes();
}

} // namespace yuccahook::control
