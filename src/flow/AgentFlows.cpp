#include "flow/AgentFlows.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace yuccahook::flow {

namespace {

constexpr std::uint8_t maximumHops = 8;
constexpr Time retryInterval = std::chrono::milliseconds(200);
/// Longer than a datagram may be in transit.
constexpr Time maximumPacketLifetime = std::chrono::seconds(5);
constexpr std::uint32_t placementMemberShift = 32; // bits; the lower ones count the member's placements

Decision refuse(RefusalReason reason) { return { Verdict::Refuse, 0, reason, {} }; }

Decision forward(std::uint32_t member, Routing routing)
{
    return { Verdict::Forward, member, RefusalReason::None, routing };
}

bool contains(const std::vector<std::uint32_t>& members, std::uint32_t member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

} // namespace

AgentFlows::AgentFlows(std::size_t maximumFlows)
    : m_maximumFlows(maximumFlows)
{
}

void AgentFlows::setMembership(MembershipPointer membership, std::uint32_t self)
{
    m_map = std::make_unique<BucketMap>(std::move(membership), m_map.get());
    const Member* member = m_map->membership().member(self);
    const ServiceSpec* service = member ? m_map->membership().service(member->service) : nullptr;
    const bool isLive = service && member->state != MemberState::Lost;
    if (service && (service->id != m_service || m_buckets.size() != service->buckets))
        resetForService(*service);
    if (!isLive || self != m_self)
        dropAuthority();
    m_self = service ? self : 0;
    m_peers = livePeers(m_service, false);
    m_readyPeers = livePeers(m_service, true);
    dropDepartedPeers();
    if (isLive)
        claimBuckets();
}

void AgentFlows::resetForService(const ServiceSpec& service)
{
    m_flows.clear();
    m_directory.clear();
    m_closing.clear();
    m_openFlows = 0;
    m_service = service.id;
    m_buckets.assign(service.buckets, {});
    m_peers.clear();
}

// Open flows remain, and so do the promises to other members: those made under an earlier id are still valid.
void AgentFlows::dropAuthority()
{
    for (auto& bucket : m_buckets) {
        bucket.authority = false;
        bucket.claiming = false;
        bucket.releasedEpoch = 0;
        bucket.successor = 0;
        bucket.pending.clear();
    }
    m_directory.clear();
}

std::vector<std::uint32_t> AgentFlows::livePeers(std::uint32_t service, bool readyOnly) const
{
    std::vector<std::uint32_t> peers;
    for (const auto& member : m_map->membership().members) {
        const bool live = readyOnly ? member.state == MemberState::Ready : member.state != MemberState::Lost;
        if (member.service == service && member.id != m_self && live)
            peers.push_back(member.id);
    }
    return peers;
}

void AgentFlows::dropDepartedPeers()
{
    std::erase_if(m_directory, [this](const auto& entry) { return isHolderGone(entry.second); });
    std::erase_if(m_loads, [this](const auto& entry) { return !contains(m_peers, entry.first); });
}

bool AgentFlows::isHolderGone(const Redirect& redirect) const
{
    return !contains(m_peers, redirect.holder) && redirect.revision <= m_map->revision();
}

void AgentFlows::claimBuckets()
{
    std::vector<std::uint32_t> newcomers;
    std::copy_if(m_peers.begin(), m_peers.end(), std::back_inserter(newcomers),
        [this](std::uint32_t peer) { return !contains(m_previousPeers, peer); });
    m_previousPeers = m_peers;
    std::vector<bool> newClaims(m_buckets.size());
    for (std::uint32_t index = 0; index < m_buckets.size(); ++index) {
        Bucket& bucket = m_buckets[index];
        const Member* owner = m_map->ownerOf(m_service, index);
        if (!owner || owner->id != m_self || bucket.promised > m_map->revision()) {
            bucket.claiming = false;
            bucket.pending.clear();
            continue;
        }
        bucket.epoch = bucket.promised = m_map->revision();
        if (bucket.authority) {
            // An agent that returns after it was declared lost may hold flows of the bucket.
            std::erase_if(bucket.pending, [this](std::uint32_t peer) { return !contains(m_peers, peer); });
            bucket.pending.insert(bucket.pending.end(), newcomers.begin(), newcomers.end());
            continue;
        }
        bucket.claiming = true;
        bucket.releasedEpoch = 0;
        bucket.successor = 0;
        bucket.pending = m_peers;
        newClaims[index] = true;
    }
    eraseDirectory(newClaims);
    for (std::uint32_t index = 0; index < m_buckets.size(); ++index) {
        if (m_buckets[index].claiming && m_peers.empty())
            gainAuthority(index, true);
    }
    sendClaims(m_lastRetryTime);
}

void AgentFlows::eraseDirectory(const std::vector<bool>& buckets)
{
    std::erase_if(m_directory, [&](const auto& entry) { return buckets[bucketOf(entry.first)]; });
}

void AgentFlows::sendClaims(Time now)
{
    m_lastRetryTime = now;
    std::unordered_map<std::uint32_t, PeerMessage> claims;
    for (std::uint32_t index = 0; index < m_buckets.size(); ++index) {
        const Bucket& bucket = m_buckets[index];
        for (const std::uint32_t member : bucket.pending) {
            auto [found, added] = claims.try_emplace(member);
            if (added)
                found->second = messageTo(member, PeerKind::Claim, bucket.epoch);
            found->second.buckets.push_back({ index, false, false });
        }
    }
    for (auto& [member, claim] : claims)
        m_messages.push_back(std::move(claim));
}

Decision AgentFlows::decide(const Packet& packet, Time now)
{
    if (Entry* entry = m_flows.find(packet.key); entry && !entry->closing) {
        entry->lastSeen = now;
        return { Verdict::Deliver, m_self, RefusalReason::None, {} };
    }
    if (packet.hops >= maximumHops)
        return refuse(RefusalReason::TooManyHops);
    if (m_self == 0)
        return decideWithoutId(packet);
    if (m_service != packet.key.service)
        return refuse(RefusalReason::WrongService);
    Bucket& bucket = m_buckets[bucketOf(packet.key)];
    if (bucket.authority)
        return decideAsOwner(packet, bucket, now);
    if (packet.routing.kind == RoutingKind::Placed && packet.routing.epoch >= bucket.promised)
        return decidePlaced(packet, now);
    return locateFlow(packet, bucket);
}

// Other instances may learn this agent's id before it does. The former owner of the bucket is among the live agents
// that it knows, so each of them gets a probe.
Decision AgentFlows::decideWithoutId(const Packet& packet)
{
    m_probeTargets.clear();
    if (m_map && packet.routing.kind == RoutingKind::Owner)
        m_probeTargets = livePeers(packet.key.service, false);
    if (m_probeTargets.empty())
        return refuse(RefusalReason::UnknownMember);
    Routing routing = packet.routing;
    routing.kind = RoutingKind::Probe;
    return { Verdict::Probe, 0, RefusalReason::None, routing };
}

Decision AgentFlows::decideAsOwner(const Packet& packet, Bucket& bucket, Time now)
{
    const auto found = m_directory.find(packet.key);
    if (found == m_directory.end())
        return placeFlow(packet, bucket, now);
    const Routing& routing = packet.routing;
    const bool declined = routing.declinedBy == found->second.holder && routing.placement == found->second.placement;
    if (!declined)
        return forward(found->second.holder, { RoutingKind::Placed, bucket.epoch, found->second.placement, 0 });
    m_directory.erase(found);
    return placeFlow(packet, bucket, now);
}

Decision AgentFlows::placeFlow(const Packet& packet, const Bucket& bucket, Time now)
{
    const ServiceSpec* service = m_map->membership().service(m_service);
    if (!service || service->withdrawn)
        return refuse(RefusalReason::Withdrawn);
    const std::uint32_t other = secondCandidate(packet.key, packet.routing.declinedBy);
    const std::uint64_t placement = std::uint64_t { m_self } << placementMemberShift | ++m_placements;
    const bool otherAccepts = other != 0 && !m_loads[other].full;
    if (!full() && (!otherAccepts || relativeLoad(m_self) <= relativeLoad(other)))
        return openFlow(packet, placement, now);
    if (!otherAccepts)
        return refuse(m_draining ? RefusalReason::Draining : RefusalReason::TableFull);
    m_directory[packet.key] = { other, placement, m_map->revision() };
    m_loads[other].flows += 1;
    ++m_counts.placedOnPeers;
    return forward(other, { RoutingKind::Placed, bucket.epoch, placement, 0 });
}

std::uint32_t AgentFlows::secondCandidate(const FlowKey& key, std::uint32_t excluded) const
{
    if (m_readyPeers.empty())
        return 0;
    // The bucket is the remainder of the hash, so the hash's upper half is independent of the bucket's owner.
    const std::size_t rank = (hashOf(key) >> 32) % m_readyPeers.size();
    if (m_readyPeers[rank] != excluded)
        return m_readyPeers[rank];
    const std::uint32_t next = m_readyPeers[(rank + 1) % m_readyPeers.size()];
    return next != excluded ? next : 0;
}

double AgentFlows::relativeLoad(std::uint32_t id) const
{
    const Member* member = m_map->membership().member(id);
    const auto reported = m_loads.find(id);
    const double reportedFlows = reported != m_loads.end() ? reported->second.flows : 0;
    const double flows = id == m_self ? static_cast<double>(m_openFlows) : reportedFlows;
    return flows / std::max(1U, member->weight);
}

Decision AgentFlows::decidePlaced(const Packet& packet, Time now)
{
    const Entry* entry = m_flows.find(packet.key);
    const bool isClosing = entry && entry->placement == packet.routing.placement;
    if (!isClosing && !m_draining) {
        if (m_openFlows >= m_maximumFlows)
            return refuse(RefusalReason::TableFull);
        return openFlow(packet, packet.routing.placement, now);
    }
    const Member* owner = m_map->ownerOf(packet.key);
    if (!owner || owner->id == m_self)
        return refuse(RefusalReason::OwnerChanging);
    ++m_counts.declined;
    return forward(owner->id, { RoutingKind::Owner, packet.routing.epoch, packet.routing.placement, m_self });
}

// For a bucket that this agent does not decide for: forwards the packet to an agent that may know the flow.
Decision AgentFlows::locateFlow(const Packet& packet, const Bucket& bucket)
{
    const bool probe = packet.routing.kind == RoutingKind::Probe || packet.routing.kind == RoutingKind::Relay;
    if (const auto known = m_directory.find(packet.key); known != m_directory.end())
        return forward(known->second.holder, { probe ? RoutingKind::Probe : RoutingKind::Relay, 0, 0, 0 });
    if (probe && bucket.successor != 0)
        return forward(
            bucket.successor, { RoutingKind::Probe, 0, 0, 0 }); // the probe was sent before the handover arrived
    const bool relays = packet.routing.kind == RoutingKind::Relay && packet.revision < m_map->revision();
    if (probe && !relays)
        return { Verdict::Drop, 0, RefusalReason::OwnerChanging, {} };
    const Member* owner = m_map->ownerOf(packet.key);
    if (!owner)
        return refuse(RefusalReason::NoMember);
    const bool sentByNewerRevision = packet.revision > m_map->revision();
    if (owner->id != m_self && !sentByNewerRevision) {
        Routing routing = packet.routing;
        routing.kind = RoutingKind::Owner;
        return forward(owner->id, routing);
    }
    m_probeTargets = bucket.claiming ? bucket.pending : m_peers;
    if (m_probeTargets.empty())
        return refuse(RefusalReason::OwnerChanging);
    Routing routing = packet.routing;
    routing.kind = RoutingKind::Relay;
    return { Verdict::Probe, 0, RefusalReason::None, routing };
}

Decision AgentFlows::openFlow(const Packet& packet, std::uint64_t placement, Time now)
{
    m_flows.insertOrAssign(packet.key, { now, placement });
    ++m_openFlows;
    ++m_counts.opened;
    return { Verdict::Open, m_self, RefusalReason::None, {} };
}

bool AgentFlows::hasOpenFlow(const FlowKey& key) const
{
    const Entry* entry = m_flows.find(key);
    return entry && !entry->closing;
}

void AgentFlows::close(const FlowKey& key, Time now)
{
    if (Entry* entry = m_flows.find(key); entry && !entry->closing)
        beginClosing(key, *entry, now);
}

void AgentFlows::beginClosing(const FlowKey& key, Entry& entry, Time now)
{
    entry.closing = true;
    entry.lastSeen = now;
    entry.closeAcknowledged = m_buckets[bucketOf(key)].authority;
    m_closing.push_back(key);
    --m_openFlows;
}

std::vector<FlowKey> AgentFlows::expire(Time now)
{
    std::vector<FlowKey> expired;
    const ServiceSpec* service = m_map ? m_map->membership().service(m_service) : nullptr;
    if (!service || service->protocol != Protocol::Datagram)
        return expired; // the end of a stream is reported by close()
    const Time idle = std::chrono::seconds(service->idleSeconds);
    m_flows.forEach([&](const FlowKey& key, Entry& entry) {
        if (entry.closing || now - entry.lastSeen < idle)
            return;
        expired.push_back(key);
        beginClosing(key, entry, now);
    });
    return expired;
}

std::size_t AgentFlows::bucketsWaiting() const
{
    return std::count_if(m_buckets.begin(), m_buckets.end(), [](const Bucket& bucket) { return bucket.claiming; });
}

PeerMessage AgentFlows::messageTo(std::uint32_t member, PeerKind kind, std::uint64_t epoch) const
{
    PeerMessage message;
    message.kind = kind;
    message.from = m_self;
    message.to = member;
    message.epoch = epoch;
    message.revision = m_map->revision();
    return message;
}

void AgentFlows::receive(const PeerMessage& message, Time)
{
    if (m_self == 0 || message.to != m_self)
        return;
    static constexpr std::array<void (AgentFlows::*)(const PeerMessage&), 6> handlers { &AgentFlows::handleClaim,
        &AgentFlows::handleHandover, &AgentFlows::handleHandoverTaken, &AgentFlows::handleClosed,
        &AgentFlows::handleClosedTaken, &AgentFlows::handleLoad };
    const auto index = static_cast<std::size_t>(message.kind);
    if (index < handlers.size())
        (this->*handlers[index])(message);
}

void AgentFlows::handleClaim(const PeerMessage& message)
{
    PeerMessage reply = messageTo(message.from, PeerKind::Handover, message.epoch);
    std::vector<bool> flowsRequested(m_buckets.size());
    std::vector<bool> directoryRequested(m_buckets.size());
    std::vector<bool> outdated(m_buckets.size());
    for (const auto& claimed : message.buckets) {
        if (claimed.bucket >= m_buckets.size())
            continue;
        Bucket& bucket = m_buckets[claimed.bucket];
        const bool repeated = bucket.releasedEpoch == message.epoch && bucket.promised == message.epoch;
        if (message.epoch < bucket.promised || (message.epoch == bucket.promised && bucket.claiming)) {
            reply.buckets.push_back({ claimed.bucket, false, true });
            continue;
        }
        if (bucket.authority)
            bucket.releasedEpoch = message.epoch;
        if (bucket.promised != message.epoch)
            bucket.successor = 0;
        const bool wasOwner = bucket.authority || repeated;
        outdated[claimed.bucket] = !wasOwner;
        bucket.authority = false;
        bucket.claiming = false;
        bucket.pending.clear();
        bucket.promised = message.epoch;
        flowsRequested[claimed.bucket] = true;
        directoryRequested[claimed.bucket] = wasOwner;
        reply.buckets.push_back({ claimed.bucket, wasOwner, false });
    }
    eraseDirectory(outdated);
    m_flows.forEach([&](const FlowKey& key, const Entry& entry) {
        if (!entry.closing && flowsRequested[bucketOf(key)])
            reply.entries.push_back({ key.caller, m_self, entry.placement });
    });
    for (const auto& [key, redirect] : m_directory) {
        if (directoryRequested[bucketOf(key)])
            reply.entries.push_back({ key.caller, redirect.holder, redirect.placement });
    }
    m_messages.push_back(std::move(reply));
}

void AgentFlows::handleHandover(const PeerMessage& message)
{
    std::vector<bool> accepted(m_buckets.size());
    std::vector<bool> superseded(m_buckets.size());
    PeerMessage reply = messageTo(message.from, PeerKind::HandoverTaken, message.epoch);
    for (const auto& state : message.buckets) {
        if (state.bucket >= m_buckets.size())
            continue;
        Bucket& bucket = m_buckets[state.bucket];
        if (bucket.epoch == message.epoch && bucket.authority && state.wasOwner)
            reply.buckets.push_back(state); // the first acknowledgement was lost
        const bool awaited = contains(bucket.pending, message.from) && bucket.epoch == message.epoch && !state.stale;
        if (!awaited)
            continue;
        accepted[state.bucket] = true;
        std::erase(bucket.pending, message.from);
        if (state.wasOwner)
            reply.buckets.push_back(state);
        if (!bucket.claiming)
            continue;
        superseded[state.bucket] = state.wasOwner;
        if (state.wasOwner || bucket.pending.empty())
            gainAuthority(state.bucket, !state.wasOwner);
    }
    // The former owner's entries are complete; the other agents may have replied while it still placed flows.
    eraseDirectory(superseded);
    for (const auto& entry : message.entries)
        addToDirectory(entry, message.revision, accepted);
    if (!reply.buckets.empty())
        m_messages.push_back(std::move(reply));
}

void AgentFlows::addToDirectory(const DirectoryEntry& entry, std::uint64_t revision, const std::vector<bool>& buckets)
{
    const FlowKey key = keyOf(entry.caller);
    const Redirect redirect { entry.holder, entry.placement, revision };
    if (!buckets[bucketOf(key)] || entry.holder == m_self || isHolderGone(redirect))
        return;
    const auto [found, added] = m_directory.try_emplace(key, redirect);
    if (hasOpenFlow(key) || (!added && found->second.holder != entry.holder))
        ++m_counts.conflicts;
}

void AgentFlows::gainAuthority(std::uint32_t index, bool recovered)
{
    Bucket& bucket = m_buckets[index];
    bucket.authority = true;
    bucket.claiming = false;
    bucket.pending.clear();
    ++(recovered ? m_counts.bucketsRecovered : m_counts.bucketsTakenOver);
}

void AgentFlows::handleHandoverTaken(const PeerMessage& message)
{
    std::vector<bool> handedOver(m_buckets.size());
    for (const auto& state : message.buckets) {
        if (state.bucket >= m_buckets.size())
            continue;
        Bucket& bucket = m_buckets[state.bucket];
        const bool current = bucket.releasedEpoch == message.epoch && !bucket.authority && !bucket.claiming;
        if (!current)
            continue;
        handedOver[state.bucket] = true;
        bucket.releasedEpoch = 0;
        bucket.successor = message.from;
    }
    eraseDirectory(handedOver);
}

void AgentFlows::handleClosed(const PeerMessage& message)
{
    PeerMessage reply = messageTo(message.from, PeerKind::ClosedTaken, message.epoch);
    for (const auto& entry : message.entries) {
        const FlowKey key = keyOf(entry.caller);
        if (!m_buckets[bucketOf(key)].authority)
            continue; // not acknowledged, so the holder repeats it until the owner has removed the entry
        const auto found = m_directory.find(key);
        if (found != m_directory.end() && found->second.placement == entry.placement)
            m_directory.erase(found);
        reply.entries.push_back(entry);
    }
    if (!reply.entries.empty())
        m_messages.push_back(std::move(reply));
}

void AgentFlows::handleClosedTaken(const PeerMessage& message)
{
    for (const auto& entry : message.entries) {
        Entry* closed = m_flows.find(keyOf(entry.caller));
        if (closed && closed->closing && closed->placement == entry.placement)
            closed->closeAcknowledged = true;
    }
}

void AgentFlows::handleLoad(const PeerMessage& message)
{
    m_loads[message.from] = { static_cast<double>(message.flows), message.full };
}

void AgentFlows::tick(Time now)
{
    if (m_self == 0)
        return;
    if (now - m_lastLoadTime >= loadInterval) {
        m_lastLoadTime = now;
        for (const std::uint32_t peer : m_peers) {
            PeerMessage load = messageTo(peer, PeerKind::Load, m_map->revision());
            load.flows = m_openFlows;
            load.full = full();
            m_messages.push_back(std::move(load));
        }
    }
    if (now - m_lastRetryTime < retryInterval)
        return;
    sendClaims(now);
    std::unordered_map<std::uint32_t, PeerMessage> closeMessages;
    std::erase_if(m_closing, [&](const FlowKey& key) {
        Entry* found = m_flows.find(key);
        if (!found || !found->closing)
            return true; // the flow was opened again under another placement
        Entry& entry = *found;
        const Member* owner = m_map->ownerOf(key);
        if (m_buckets[bucketOf(key)].authority || !owner)
            entry.closeAcknowledged = true;
        if (entry.closeAcknowledged && now - entry.lastSeen >= maximumPacketLifetime) {
            m_flows.erase(key);
            return true;
        }
        if (!entry.closeAcknowledged && owner->id != m_self) {
            auto [message, added] = closeMessages.try_emplace(owner->id);
            if (added)
                message->second = messageTo(owner->id, PeerKind::Closed, m_map->revision());
            message->second.entries.push_back({ key.caller, m_self, entry.placement });
        }
        return false;
    });
    for (auto& [member, message] : closeMessages)
        m_messages.push_back(std::move(message));
}

std::vector<PeerMessage> AgentFlows::takeMessages()
{
    std::vector<PeerMessage> messages;
    messages.swap(m_messages);
    return messages;
}

} // namespace yuccahook::flow
