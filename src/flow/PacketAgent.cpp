#include "flow/PacketAgent.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t answerMillis = 60; // many times what a backend server takes to answer an opening packet
constexpr std::uint64_t silentMillis = 300; // how long an unanswered one keeps new flows away
constexpr std::uint64_t startMillis = 2000; // until the backend server has reported to a new agent
constexpr std::uint64_t reservationMillis = 150; // a caller that opens a flow does so within a few round trips
constexpr std::uint64_t halfOpenMillis = 5000; // above a caller's last copy of an opening packet
constexpr std::uint64_t finishedMillis = 5000; // for late copies of the last packets
constexpr std::uint64_t expireMillis = 1000;
constexpr std::uint64_t subscribeMillis = 500;
constexpr std::uint64_t subscriberMillis = 2500; // several renewals
constexpr std::uint64_t localChangeMillis = 40; // a changed load is told no more often
constexpr std::uint64_t remoteChangeMillis = 200;
constexpr std::uint64_t localRepeatMillis = 250; // an unchanged one no less often
constexpr std::uint64_t remoteRepeatMillis = 500;
constexpr std::uint32_t openingWindow = 2; // how far past the answer's sequence its acknowledgement may be
constexpr std::size_t maximumNotHere = 4096;
constexpr std::uint32_t workSamples = 20; // requests whose mean is one step of the estimate
constexpr double workSmoothing = 0.5;
constexpr double firstWorkShare = 0.25; // of the goal, until requests have been measured
// Shares of the latency goal that waiting and work may take: in a burst, and once slots have been short for a while,
// when a long queue would make all requests late (PacketModel, loads 0.85 to 2).
constexpr double burstGoalShare = 0.8;
constexpr double overloadGoalShare = 0.4;
constexpr std::uint64_t overloadMillis = 500;

std::uint64_t keyOf(const PacketEndpoint& endpoint) { return std::uint64_t { endpoint.host } << 16 | endpoint.port; }

PacketEndpoint endpointOf(std::uint64_t key)
{
    return { static_cast<std::uint32_t>(key >> 16), static_cast<std::uint16_t>(key) };
}

} // namespace

PacketAgent::PacketAgent(std::string domain, PacketEndpoint trunk, std::uint64_t seed, PacketAgentLimits limits,
    const PacketCodec& codec, PacketOutput& output, std::uint64_t nowMillis)
    : m_domain(domainHash(domain))
    , m_trunk(trunk)
    , m_limits(limits)
    , m_codec(codec)
    , m_output(output)
    , m_startMillis(nowMillis)
    , m_lastFreeMillis(nowMillis)
    , m_membership(std::make_shared<Membership>())
    , m_peers(std::move(domain), seed)
{
}

void PacketAgent::setMembership(MembershipPointer membership, std::uint64_t nowMillis)
{
    m_membership = std::move(membership);
    m_peers.setMembership(*m_membership);
    const auto* self = m_peers.at(m_trunk);
    m_member = self ? self->member : 0;
    releaseHeld(nowMillis);
}

ReportStatus PacketAgent::takeReport(const BackendReport& report, std::uint64_t nowMillis)
{
    const ReportStatus status = m_backend.take(report, nowMillis);
    if (status == ReportStatus::NewIncarnation)
        m_notHere.clear();
    releaseHeld(nowMillis);
    tellLoad(nowMillis);
    return status;
}

bool PacketAgent::takeLeave(const std::string& id, std::uint64_t startedMillis, std::uint64_t nowMillis)
{
    const bool left = m_backend.leave(id, startedMillis);
    tellLoad(nowMillis);
    return left;
}

void PacketAgent::drain(std::uint64_t nowMillis)
{
    m_draining = true;
    tellLoad(nowMillis);
}

void PacketAgent::decide(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow, const PacketEndpoint& peer,
    std::uint64_t inputAgeMillis)
{
    const std::uint32_t slots = m_backend.report() ? m_backend.report()->slots : 0;
    m_output.decided({ verdict, reason, flow, peer, m_membership->revision, m_flows.busy(), slots, inputAgeMillis });
}

// New flows.

// A new agent has heard nothing yet of a backend server that may be well.
bool PacketAgent::isStarting(std::uint64_t nowMillis) const
{
    const bool knowsAll = m_backend.report() && m_membership->revision != 0;
    return !knowsAll && nowMillis - m_startMillis < startMillis;
}

void PacketAgent::releaseHeld(std::uint64_t nowMillis)
{
    if (isStarting(nowMillis))
        return;
    m_held.release(nowMillis, [this, nowMillis](PacketBytes datagram) { takeFromTrunk({}, datagram, nowMillis); });
}

// Why the backend server may take no new flow of a service, whatever its load.
std::optional<FlowReason> PacketAgent::obstacle(std::uint32_t service, std::uint64_t nowMillis) const
{
    if (m_draining)
        return FlowReason::Stopping;
    const auto& report = m_backend.report();
    if (!report)
        return FlowReason::NoBackend;
    if (report->draining)
        return FlowReason::BackendDraining;
    // Past this age the address may be another's.
    const std::uint64_t validMillis = std::min<std::uint64_t>(
        m_limits.announceMillis + m_limits.announceMillis * 3 / 5, m_limits.reuseMillis - m_limits.reuseMillis / 20);
    if (nowMillis - m_backend.heardMillis() > validMillis)
        return FlowReason::BackendOverdue;
    const auto* known = m_membership->serviceNamed(report->service);
    if (!known || known->id != service)
        return FlowReason::OtherService;
    if (nowMillis < m_silentUntilMillis)
        return FlowReason::BackendSilent;
    return std::nullopt;
}

void PacketAgent::noteFree(std::uint64_t nowMillis)
{
    if (m_backend.report() && m_flows.busy() < m_backend.report()->slots)
        m_lastFreeMillis = nowMillis;
}

// Whether a request that waits behind the others is answered within the goal.
bool PacketAgent::meetsGoal(std::uint32_t goalMillis, std::uint64_t nowMillis) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(m_backend.report()->slots, 1);
    const std::uint32_t waiting = m_flows.busy() + 1 - std::min(m_flows.busy() + 1, slots);
    if (goalMillis == 0)
        return waiting <= slots;
    const double work = m_workMillis > 0 ? m_workMillis : goalMillis * firstWorkShare;
    const bool overloaded = nowMillis - m_lastFreeMillis > overloadMillis;
    const double share = overloaded ? overloadGoalShare : burstGoalShare;
    return waiting * work / slots + work <= goalMillis * share;
}

const AgentDirectory::Agent* PacketAgent::nextPeer(const PacketEnvelope& envelope, std::uint64_t nowMillis)
{
    if (envelope.tried.size() >= PacketEnvelope::maximumHops)
        return nullptr;
    auto excluded = envelope.tried;
    excluded.push_back(m_member);
    return m_peers.choose(envelope.service, excluded, nowMillis);
}

void PacketAgent::takeOpening(
    PacketEnvelope envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.fromCaller();
    auto* entry = m_flows.find(flow);
    if (entry && entry->incarnation == m_backend.incarnation()) {
        entry->activeMillis = nowMillis;
        m_output.toBackend(packet); // a copy
        return;
    }
    if (const auto reason = obstacle(envelope.service, nowMillis)) {
        const auto* peer = nextPeer(envelope, nowMillis);
        const bool peerTakes = peer && AgentDirectory::isHeard(*peer, nowMillis) && peer->load.accepts;
        const bool holds = isStarting(nowMillis) && !m_draining && !peerTakes;
        PacketEnvelope held = envelope;
        held.quiet = true;
        if (!holds || !m_held.add(flow, header, encodePacket(held, packet), nowMillis))
            passOnOrRefuse(envelope, packet, header, *reason, nowMillis);
        return;
    }
    if (m_flows.isFull()) {
        passOnOrRefuse(envelope, packet, header, FlowReason::TableFull, nowMillis);
        return;
    }
    noteFree(nowMillis);
    if (load(nowMillis).free() > 0) {
        accept(envelope, packet, flow, nowMillis);
        return;
    }
    const auto* peer = nextPeer(envelope, nowMillis);
    const bool peerTakes = peer && AgentDirectory::isHeard(*peer, nowMillis) && peer->load.accepts;
    const auto fullness = [](const AgentLoad& of) { return of.busy * 1.0 / std::max<int>(of.slots, 1); };
    if (peerTakes && (peer->load.free() > 0 || fullness(peer->load) + 1e-9 < fullness(load(nowMillis)) - 0.2)) {
        passOn(envelope, packet, flow, FlowReason::SlotsTaken, peer);
        return;
    }
    if (meetsGoal(envelope.goalMillis, nowMillis)) {
        accept(envelope, packet, flow, nowMillis);
        return;
    }
    refuse(envelope, header, FlowReason::GoalOutOfReach, nowMillis);
}

void PacketAgent::accept(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow, std::uint64_t nowMillis)
{
    auto& entry = m_flows.add(flow);
    entry.incarnation = m_backend.incarnation();
    entry.offeredMillis = nowMillis;
    entry.activeMillis = nowMillis;
    entry.opening = encodePacket(envelope, packet);
    entry.busyBefore = m_flows.busy();
    m_flows.setBusy(entry, true);
    m_notHere.erase(flow);
    m_offered.emplace_back(nowMillis + answerMillis, flow);
    m_reserved.emplace_back(nowMillis + reservationMillis, flow);
    m_output.toBackend(packet);
    if (!envelope.tried.empty())
        m_output.toTrunk(envelope.origin, encodeHolder(flow));
    decide(FlowVerdict::Accepted, FlowReason::None, flow, {}, nowMillis - m_backend.heardMillis());
}

bool PacketAgent::passOn(PacketEnvelope envelope, PacketBytes packet, const PacketFlow& flow, FlowReason reason,
    const AgentDirectory::Agent* peer)
{
    if (!peer)
        return false;
    envelope.kind = EnvelopeKind::Direct;
    envelope.tried.push_back(m_member);
    const PacketEndpoint trunk = peer->trunk;
    m_output.toTrunk(trunk, encodePacket(envelope, packet));
    m_peers.addFlow(trunk);
    decide(FlowVerdict::Passed, reason, flow, trunk);
    return true;
}

void PacketAgent::refuse(
    const PacketEnvelope& envelope, const PacketHeader& header, FlowReason reason, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.fromCaller();
    if (!envelope.quiet)
        m_output.toCaller(flow.caller.host, m_codec.reset(flow, header.acknowledged));
    const auto verdict = envelope.quiet ? FlowVerdict::Declined : FlowVerdict::Refused;
    decide(verdict, reason, flow, {}, nowMillis - m_backend.heardMillis());
}

void PacketAgent::passOnOrRefuse(const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header,
    FlowReason reason, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.fromCaller();
    if (passOn(envelope, packet, flow, reason, nextPeer(envelope, nowMillis)))
        return;
    const auto* own = m_backend.report() ? m_membership->serviceNamed(m_backend.report()->service) : nullptr;
    const bool knowsPeers = own && own->id == envelope.service;
    if (!knowsPeers && envelope.tried.size() < PacketEnvelope::maximumHops) {
        PacketEnvelope declined = envelope;
        declined.kind = EnvelopeKind::Declined;
        m_output.toTrunk(envelope.origin, encodePacket(declined, packet));
        decide(FlowVerdict::Passed, reason, flow, envelope.origin);
        return;
    }
    refuse(envelope, header, reason, nowMillis);
}

// An opening packet without an answer has not run; another agent gets a copy. Should the answer come late, the caller
// opens the flow at one of the two.
void PacketAgent::passOnUnanswered(std::uint64_t nowMillis)
{
    while (!m_offered.empty() && m_offered.front().first <= nowMillis) {
        const PacketFlow flow = m_offered.front().second;
        m_offered.pop_front();
        auto* entry = m_flows.find(flow);
        if (!entry || entry->state != PacketFlowState::Offered || entry->opening.empty())
            continue;
        const auto opening = std::move(entry->opening);
        entry->opening.clear();
        m_flows.setBusy(*entry, false);
        m_silentUntilMillis = nowMillis + silentMillis;
        auto read = decodePacket(opening);
        if (!read)
            continue;
        read->envelope.quiet = true;
        if (m_codec.decode(read->packet))
            passOn(read->envelope, read->packet, flow, FlowReason::BackendSilent, nextPeer(read->envelope, nowMillis));
    }
}

// The caller may have given up, or opened the flow elsewhere; should it come yet, its request counts again.
void PacketAgent::endReservations(std::uint64_t nowMillis)
{
    while (!m_reserved.empty() && m_reserved.front().first <= nowMillis) {
        auto* entry = m_flows.find(m_reserved.front().second);
        m_reserved.pop_front();
        if (entry && entry->requestMillis == 0)
            m_flows.setBusy(*entry, false);
    }
}

// Flows under way.

void PacketAgent::takeFromTrunk(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    if (datagram.empty())
        return;
    m_pauses.note(nowMillis);
    const EnvelopeKind kind = kindOf(datagram);
    if (kind == EnvelopeKind::Load) {
        if (const auto told = decodeLoad(datagram))
            m_peers.report(source, *told, nowMillis);
        return;
    }
    if (kind == EnvelopeKind::Subscribe) {
        if (const auto domain = decodeSubscribe(datagram))
            noteSubscriber(source, *domain, nowMillis);
        return;
    }
    auto read = decodePacket(datagram);
    const auto header = read ? m_codec.decode(read->packet) : std::nullopt;
    if (!header || (kind != EnvelopeKind::Direct && kind != EnvelopeKind::Find)) {
        decide(FlowVerdict::Dropped, FlowReason::Malformed, {}, source);
        return;
    }
    if (read->envelope.origin.port == 0)
        read->envelope.origin = source;
    if (header->opens && m_pauses.isWaking(nowMillis))
        decide(FlowVerdict::Dropped, FlowReason::Paused, header->fromCaller(), source);
    else if (header->opens)
        takeOpening(read->envelope, read->packet, *header, nowMillis);
    else
        takeUnderWay(read->envelope, read->packet, *header, nowMillis);
}

void PacketAgent::takeUnderWay(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.fromCaller();
    auto* entry = m_flows.find(flow);
    if (!entry) {
        takeUnknown(envelope, packet, flow, nowMillis);
        return;
    }
    if (entry->incarnation != m_backend.incarnation()) {
        const bool wasOpen = entry->state == PacketFlowState::Open;
        m_flows.erase(flow);
        if (wasOpen)
            endFlow(flow, header.acknowledged, FlowReason::BackendReplaced);
        else
            takeUnknown(envelope, packet, flow, nowMillis);
        return;
    }
    const bool isHalfOpen = entry->state == PacketFlowState::Offered || entry->state == PacketFlowState::Answered;
    const bool isOurs
        = entry->state == PacketFlowState::Answered && header.acknowledged - entry->answerSequence <= openingWindow;
    if (isHalfOpen && !isOurs) {
        if (envelope.kind == EnvelopeKind::Direct)
            searchPeers(envelope.origin, packet, flow);
        return;
    }
    if (envelope.kind == EnvelopeKind::Find && entry->state != PacketFlowState::Probed) {
        m_output.toTrunk(envelope.origin, encodeHolder(flow));
        decide(FlowVerdict::Found, FlowReason::None, flow, envelope.origin);
    }
    deliver(*entry, packet, header, nowMillis);
}

void PacketAgent::deliver(
    PacketFlowEntry& entry, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    if (entry.state == PacketFlowState::Answered)
        entry.state = PacketFlowState::Open;
    entry.activeMillis = nowMillis;
    entry.acknowledged = header.acknowledged;
    entry.callerFinished = entry.callerFinished || header.finishes || header.resets;
    if (header.dataBytes > 0 && entry.requestMillis == 0) {
        entry.busyBefore = entry.busy ? entry.busyBefore : m_flows.busy();
        entry.requestMillis = nowMillis;
        m_flows.setBusy(entry, true);
    }
    if (header.resets || header.finishes)
        m_flows.setBusy(entry, entry.busy && !header.resets);
    m_output.toBackend(packet);
}

// After a restart the backend server may hold flows that this agent has not seen. It gets one packet of such a flow:
// it answers, or gives the packet back.
void PacketAgent::takeUnknown(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketFlow& flow, std::uint64_t nowMillis)
{
    const bool mayHold = nowMillis - m_startMillis < m_limits.maximumFlowMillis && !m_notHere.contains(flow)
        && (m_backend.incarnation() == 0 || m_backend.isOlderThanAgent());
    if (mayHold && !m_flows.isFull()) {
        auto& entry = m_flows.add(flow);
        entry.state = PacketFlowState::Probed;
        entry.incarnation = m_backend.incarnation();
        entry.offeredMillis = nowMillis;
        entry.activeMillis = nowMillis;
        entry.opening = encodePacket(envelope, {});
        m_output.toBackend(packet);
        return;
    }
    if (envelope.kind == EnvelopeKind::Direct)
        searchPeers(envelope.origin, packet, flow);
}

void PacketAgent::searchPeers(const PacketEndpoint& origin, PacketBytes packet, const PacketFlow& flow)
{
    PacketEnvelope envelope;
    envelope.kind = EnvelopeKind::Find;
    envelope.origin = origin;
    const auto datagram = encodePacket(envelope, packet);
    for (const auto& peer : m_peers.agents()) {
        if (peer.member != m_member)
            m_output.toTrunk(peer.trunk, datagram);
    }
    decide(FlowVerdict::Searched, FlowReason::UnknownFlow, flow);
}

void PacketAgent::endFlow(const PacketFlow& flow, std::uint32_t sequence, FlowReason reason)
{
    m_output.toCaller(flow.caller.host, m_codec.reset(flow, sequence));
    decide(FlowVerdict::Reset, reason, flow);
}

// From the backend server.

void PacketAgent::takeFromBackend(PacketBytes packet, std::uint64_t nowMillis)
{
    const auto header = m_codec.decode(packet);
    if (!header) {
        decide(FlowVerdict::Dropped, FlowReason::Malformed, {});
        return;
    }
    if (header->bounced) {
        takeBounced(packet, *header, nowMillis);
        return;
    }
    noteAnswer(*header, nowMillis);
    m_output.toCaller(header->destination.host, packet);
}

void PacketAgent::noteAnswer(const PacketHeader& header, std::uint64_t nowMillis)
{
    m_silentUntilMillis = 0;
    const PacketFlow flow = header.fromBackend();
    auto* entry = m_flows.find(flow);
    if (!entry || entry->incarnation != m_backend.incarnation()) {
        if (m_flows.isFull() || header.resets)
            return;
        entry = &m_flows.add(flow);
        entry->state = header.opens ? PacketFlowState::Answered : PacketFlowState::Open;
        entry->incarnation = m_backend.incarnation();
        entry->offeredMillis = nowMillis;
        entry->answerSequence = header.sequence;
    }
    entry->activeMillis = nowMillis;
    entry->backendFinished = entry->backendFinished || header.finishes || header.resets;
    if (entry->state == PacketFlowState::Offered && header.opens) {
        entry->state = PacketFlowState::Answered;
        entry->answerSequence = header.sequence;
        entry->opening.clear();
        m_output.timed(FlowTiming::Opening, nowMillis - entry->offeredMillis);
    }
    if (entry->state == PacketFlowState::Probed) {
        const auto read = decodePacket(entry->opening);
        entry->state = PacketFlowState::Open;
        entry->opening.clear();
        if (read) {
            m_output.toTrunk(read->envelope.origin, encodeHolder(flow));
            decide(FlowVerdict::Found, FlowReason::None, flow, read->envelope.origin);
        }
    }
    const bool answers = header.dataBytes > 0 || header.finishes || header.resets;
    if (!answers)
        return;
    if (entry->requestMillis != 0 && m_backend.report() && entry->busyBefore < m_backend.report()->slots) {
        m_workSum += static_cast<double>(nowMillis - entry->requestMillis);
        // One short request says little of the others, so the first few only count together.
        if (++m_workSamples >= workSamples) {
            const double mean = std::max(m_workSum / m_workSamples, 1.0);
            m_workMillis = m_workMillis == 0 ? mean : m_workMillis + (mean - m_workMillis) * workSmoothing;
            m_workSum = 0;
            m_workSamples = 0;
        }
    }
    if (entry->requestMillis != 0)
        m_output.timed(FlowTiming::Request, nowMillis - entry->requestMillis);
    entry->requestMillis = 0;
    m_flows.setBusy(*entry, false);
}

void PacketAgent::takeBounced(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.fromCaller();
    std::vector<std::uint8_t> restored(packet.begin(), packet.end());
    m_codec.restore(restored);
    auto* entry = m_flows.find(flow);
    if (!entry)
        return;
    if (header.opens) {
        const auto opening = std::move(entry->opening);
        const bool isOffered = entry->state == PacketFlowState::Offered;
        if (isOffered)
            m_flows.erase(flow);
        const auto read = isOffered ? decodePacket(opening) : std::nullopt;
        if (read)
            passOnOrRefuse(read->envelope, restored, header, FlowReason::BackendForgot, nowMillis);
        return;
    }
    const auto state = entry->state;
    const auto probe = state == PacketFlowState::Probed ? decodePacket(entry->opening) : std::nullopt;
    const bool sameIncarnation = entry->incarnation == m_backend.incarnation();
    if (probe) {
        const PacketEnvelope envelope = probe->envelope;
        m_flows.erase(flow);
        if (m_notHere.size() >= maximumNotHere)
            m_notHere.clear();
        m_notHere.insert(flow);
        if (envelope.kind == EnvelopeKind::Direct)
            searchPeers(envelope.origin, restored, flow);
        return;
    }
    const bool isFinished = entry->callerFinished || entry->backendFinished;
    m_flows.erase(flow);
    if (state == PacketFlowState::Open && !isFinished)
        endFlow(flow, header.acknowledged, sameIncarnation ? FlowReason::BackendForgot : FlowReason::BackendReplaced);
}

// Load.

AgentLoad PacketAgent::load(std::uint64_t nowMillis) const
{
    AgentLoad now;
    const auto& report = m_backend.report();
    if (!report)
        return now;
    const auto* service = m_membership->serviceNamed(report->service);
    now.accepts = service && !obstacle(service->id, nowMillis);
    now.slots = static_cast<std::uint16_t>(std::min<std::uint32_t>(report->slots, UINT16_MAX));
    now.busy = static_cast<std::uint16_t>(std::min<std::uint32_t>(m_flows.busy(), UINT16_MAX));
    return now;
}

void PacketAgent::noteSubscriber(const PacketEndpoint& source, std::uint32_t domain, std::uint64_t nowMillis)
{
    auto [place, isNew] = m_subscribers.try_emplace(keyOf(source));
    place->second.isLocal = domain == m_domain;
    place->second.heardMillis = nowMillis;
    if (isNew)
        tellLoad(nowMillis);
}

void PacketAgent::tellLoad(std::uint64_t nowMillis)
{
    const AgentLoad current = load(nowMillis);
    const auto bytes = encodeLoad(current);
    for (auto& [key, subscriber] : m_subscribers) {
        const std::uint64_t since = nowMillis - subscriber.toldMillis;
        const bool turned = subscriber.told.accepts != current.accepts;
        const bool changed
            = subscriber.told != current && since >= (subscriber.isLocal ? localChangeMillis : remoteChangeMillis);
        const bool due = since >= (subscriber.isLocal ? localRepeatMillis : remoteRepeatMillis);
        if (!turned && !changed && !due && subscriber.toldMillis != 0)
            continue;
        subscriber.told = current;
        subscriber.toldMillis = nowMillis;
        m_output.toTrunk(endpointOf(key), bytes);
    }
}

void PacketAgent::expire(std::uint64_t nowMillis)
{
    m_expiredMillis = nowMillis;
    std::erase_if(m_subscribers,
        [nowMillis](const auto& entry) { return nowMillis - entry.second.heardMillis > subscriberMillis; });
    m_flows.forEach([this](PacketFlowEntry& entry) {
        if (entry.incarnation != m_backend.incarnation())
            m_flows.setBusy(entry, false);
    });
    m_flows.eraseIf([this, nowMillis](const PacketFlowEntry& entry) {
        const std::uint64_t idle = nowMillis - entry.activeMillis;
        if (entry.callerFinished && entry.backendFinished)
            return idle > finishedMillis;
        if (entry.state != PacketFlowState::Open)
            return idle > halfOpenMillis;
        return idle > m_limits.maximumFlowMillis;
    });
}

void PacketAgent::tick(std::uint64_t nowMillis)
{
    m_pauses.note(nowMillis);
    passOnUnanswered(nowMillis);
    endReservations(nowMillis);
    noteFree(nowMillis);
    releaseHeld(nowMillis);
    if (nowMillis - m_expiredMillis >= expireMillis)
        expire(nowMillis);
    if (nowMillis - m_subscribedMillis >= subscribeMillis) {
        m_subscribedMillis = nowMillis;
        const auto subscribe = encodeSubscribe(m_domain);
        for (const auto& peer : m_peers.agents()) {
            if (peer.member != m_member)
                m_output.toTrunk(peer.trunk, subscribe);
        }
    }
    tellLoad(nowMillis);
}

} // namespace yuccahook::flow
