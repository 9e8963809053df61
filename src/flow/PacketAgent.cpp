#include "flow/PacketAgent.h"

#include <algorithm>

namespace yuccahook::flow {

namespace {

constexpr std::uint32_t openingWindow = 2; // how far past the answer's sequence its acknowledgement may be
constexpr std::size_t maximumNotHere = 4096;
constexpr std::uint32_t workSamples = 20; // requests whose mean is one step of the estimate
constexpr double workSmoothing = 0.5;
constexpr double reachSmoothing = 0.1; // some ten flows

} // namespace

PacketAgent::PacketAgent(std::string domain, PacketEndpoint trunk, std::uint64_t seed, PacketAgentLimits limits,
    const PacketCodec& codec, PacketOutput& output, std::uint64_t nowMillis)
    : m_domain(domainHash(domain))
    , m_trunk(trunk)
    , m_limits(limits)
    , m_codec(codec)
    , m_output(output)
    , m_startMillis(nowMillis)
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

ReportStatus PacketAgent::handleReport(const BackendReport& report, std::uint64_t nowMillis)
{
    const bool isFirst = m_backend.incarnation() == 0;
    const ReportStatus status = m_backend.take(report, nowMillis);
    if (isFirst) {
        // What was found before belongs to the backend server that reports now.
        m_flows.forEach([this](PacketFlowEntry& entry) { entry.incarnation = m_backend.incarnation(); });
    }
    if (status == ReportStatus::NewIncarnation)
        m_notHere.clear();
    releaseHeld(nowMillis);
    tellLoad(nowMillis);
    return status;
}

bool PacketAgent::handleDeparture(const std::string& id, std::uint64_t startedMillis, std::uint64_t nowMillis)
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
    m_output.recordDecision(
        { verdict, reason, flow, peer, m_membership->revision, m_flows.busy(), slots, inputAgeMillis });
}

// Flows under way.

void PacketAgent::receiveFromTrunk(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
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
        decide(FlowVerdict::Dropped, FlowReason::Paused, header->flowFromCaller(), source);
    else if (header->opens)
        takeOpening(read->envelope, read->packet, *header, nowMillis);
    else
        takeUnderWay(read->envelope, read->packet, *header, nowMillis);
    serveWaiting(nowMillis);
}

void PacketAgent::takeUnderWay(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
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
        m_output.sendToTrunk(envelope.origin, encodeHolder(flow));
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
    // A copy may come after the answer; the backend server only acknowledges it.
    const bool isNew = header.dataBytes > 0
        && (!entry.requestSequence || static_cast<std::int32_t>(header.sequence - *entry.requestSequence) > 0);
    if (isNew)
        entry.requestSequence = header.sequence;
    if (isNew && entry.requestMillis == 0 && !entry.backendFinished) {
        entry.busyBefore = entry.busy ? entry.busyBefore : m_flows.busy();
        entry.requestMillis = nowMillis;
        if (entry.busy)
            m_reachMillis += (static_cast<double>(nowMillis - entry.offeredMillis) - m_reachMillis) * reachSmoothing;
        m_flows.setBusy(entry, true);
    }
    if (header.resets || header.finishes)
        m_flows.setBusy(entry, entry.busy && !header.resets);
    m_output.sendToBackend(packet);
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
        m_output.sendToBackend(packet);
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
            m_output.sendToTrunk(peer.trunk, datagram);
    }
    decide(FlowVerdict::Searched, FlowReason::UnknownFlow, flow);
}

void PacketAgent::endFlow(const PacketFlow& flow, std::uint32_t sequence, FlowReason reason)
{
    m_output.sendToCaller(flow.caller.host, m_codec.reset(flow, sequence));
    decide(FlowVerdict::Reset, reason, flow);
}

// From the backend server.

void PacketAgent::receiveFromBackend(PacketBytes packet, std::uint64_t nowMillis)
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
    m_output.sendToCaller(header->destination.host, packet);
    serveWaiting(nowMillis);
}

void PacketAgent::noteAnswer(const PacketHeader& header, std::uint64_t nowMillis)
{
    m_silentUntilMillis = 0;
    const PacketFlow flow = header.flowFromBackend();
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
        m_output.recordLatency(LatencyKind::Opening, nowMillis - entry->offeredMillis);
    }
    if (entry->state == PacketFlowState::Probed) {
        const auto read = decodePacket(entry->opening);
        entry->state = PacketFlowState::Open;
        entry->opening.clear();
        if (read) {
            m_output.sendToTrunk(read->envelope.origin, encodeHolder(flow));
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
        m_output.recordLatency(LatencyKind::Request, nowMillis - entry->requestMillis);
    entry->requestMillis = 0;
    m_flows.setBusy(*entry, false);
}

void PacketAgent::takeBounced(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
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
        if (!read)
            return;
        m_silentUntilMillis = nowMillis + silentMillis; // a backend server that crashed gives back all that comes
        passOnOrRefuse(read->envelope, restored, header, FlowReason::BackendRefused, nowMillis);
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

} // namespace yuccahook::flow
