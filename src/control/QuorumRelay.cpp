#include "control/QuorumRelay.h"

namespace yuccahook::control {

namespace {

constexpr std::size_t maximumDiscoveryPeers = 32; // several times the largest number of instances of a site
constexpr std::uint64_t searchIntervalMillis = 200;
constexpr std::uint64_t leaderIntervalMillis = 400;
constexpr std::uint64_t leaderSilenceMillis = 600; // one lost reply; the other instances are then asked too
constexpr std::uint64_t contactRetentionMillis = 1000;

} // namespace

QuorumRelay::QuorumRelay(std::uint32_t id, const std::vector<std::uint32_t>& discoveryPeers)
    : m_id(id)
{
    addDiscoveryPeers(discoveryPeers);
}

void QuorumRelay::addDiscoveryPeers(const std::vector<std::uint32_t>& discoveryPeers)
{
    for (const std::uint32_t peer : discoveryPeers) {
        if (peer != m_id && m_discoveryPeers.size() < maximumDiscoveryPeers)
            m_discoveryPeers.insert(peer);
    }
}

void QuorumRelay::receive(const QuorumMessage& message, std::uint64_t nowMillis)
{
    const bool otherCluster = m_cluster != 0 && message.cluster != 0 && message.cluster != m_cluster;
    if (message.to != m_id || message.from == m_id || otherCluster)
        return;
    if (message.kind == MessageKind::Hello)
        onHello(message);
    else if (message.kind == MessageKind::HelloReply)
        onHelloReply(message, nowMillis);
}

// The reply has disk 0, so that instances that bootstrap a cluster know that this one has no disk, and the voters, so
// that an instance that knows only this one finds the quorum.
void QuorumRelay::onHello(const QuorumMessage& hello)
{
    QuorumMessage reply;
    reply.kind = MessageKind::HelloReply;
    reply.from = m_id;
    reply.to = hello.from;
    reply.echo = hello.echo;
    QuorumEntry entry;
    entry.voters = m_voters;
    reply.entries.push_back(std::move(entry));
    m_messages.push_back(std::move(reply));
}

void QuorumRelay::onHelloReply(const QuorumMessage& reply, std::uint64_t nowMillis)
{
    for (const auto& entry : reply.entries) {
        for (const auto& [id, disk] : entry.voters)
            addDiscoveryPeers({ id });
    }
    const bool hasState = reply.disk != 0 && reply.cluster != 0;
    if (!hasState)
        return;
    m_cluster = reply.cluster;
    m_contacts[reply.from] = { nowMillis, reply.term, reply.leader == reply.from, reply.operatorAddress };
    const auto log = std::pair { reply.logTerm, reply.index };
    if (log >= m_voterLog && !reply.entries.empty()) {
        m_voterLog = log;
        m_voters = reply.entries.front().voters;
    }
}

// The instance that reported to lead in the latest term; the end of the map when none did recently.
QuorumRelay::Contacts::const_iterator QuorumRelay::recentLeader(std::uint64_t nowMillis) const
{
    auto leader = m_contacts.end();
    for (auto contact = m_contacts.begin(); contact != m_contacts.end(); ++contact) {
        const auto& [lastReplyMillis, term, leads, operatorAddress] = contact->second;
        const bool isLater = leader == m_contacts.end() || term > leader->second.term;
        if (leads && isLater && nowMillis - lastReplyMillis <= contactRetentionMillis)
            leader = contact;
    }
    return leader;
}

// The voter that replied last; the end of the map when none did recently.
QuorumRelay::Contacts::const_iterator QuorumRelay::recentVoter(std::uint64_t nowMillis) const
{
    auto voter = m_contacts.end();
    for (auto contact = m_contacts.begin(); contact != m_contacts.end(); ++contact) {
        const std::uint64_t lastReplyMillis = contact->second.lastReplyMillis;
        const bool isLater = voter == m_contacts.end() || lastReplyMillis > voter->second.lastReplyMillis;
        if (m_voters.contains(contact->first) && isLater && nowMillis - lastReplyMillis <= contactRetentionMillis)
            voter = contact;
    }
    return voter;
}

std::optional<QuorumRelay::RequestTarget> QuorumRelay::requestTarget(std::uint64_t nowMillis) const
{
    const auto leader = recentLeader(nowMillis);
    const auto target = leader != m_contacts.end() ? leader : recentVoter(nowMillis);
    if (target == m_contacts.end())
        return std::nullopt;
    return RequestTarget { target->first, target->second.operatorAddress };
}

void QuorumRelay::tick(std::uint64_t nowMillis)
{
    if (nowMillis < m_helloDueMillis)
        return;
    const auto leader = recentLeader(nowMillis);
    const bool leaderAnswers
        = leader != m_contacts.end() && nowMillis - leader->second.lastReplyMillis <= leaderSilenceMillis;
    m_helloDueMillis = nowMillis + (leaderAnswers ? leaderIntervalMillis : searchIntervalMillis);
    if (leaderAnswers) {
        sendHello(leader->first);
        return;
    }
    std::set<std::uint32_t> known = m_discoveryPeers;
    for (const auto& [id, disk] : m_voters)
        known.insert(id);
    for (const std::uint32_t id : known)
        sendHello(id);
}

void QuorumRelay::sendHello(std::uint32_t to)
{
    QuorumMessage hello;
    hello.kind = MessageKind::Hello;
    hello.from = m_id;
    hello.to = to;
    hello.cluster = m_cluster;
    m_messages.push_back(std::move(hello));
}

} // namespace yuccahook::control
