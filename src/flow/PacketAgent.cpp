#include "flow/PacketAgent.h"

#include <algorithm>
#include <utility>

namespace yuccahook::flow {

namespace {

constexpr std::uint32_t openingWindow = 2; // how far past the answer's sequence its acknowledgement may be
constexpr FollowLimits followLimits { 12, 8 }; // fewer than at a balancer: flows are rarely forwarded
constexpr std::size_t maximumReturnedFlows = 16'384; // after a restart, all open flows of the service; 1 MB
constexpr std::uint32_t serviceTimeSamples = 20; // requests whose mean updates the estimate
constexpr double serviceTimeSmoothing = 0.5;
constexpr std::uint64_t departureSilenceMillis = 200; // many times what a backend server takes to exit
constexpr std::uint64_t endedIncarnation = 0; // of flows whose backend server has ended
constexpr double openingToRequestSmoothing = 0.1; // averages over about ten flows

} // namespace

PacketAgent::PacketAgent(std::string domain, PacketEndpoint trunk, std::uint64_t seed, PacketAgentLimits limits,
    const PacketCodec& codec, PacketOutput& output, std::uint64_t nowMillis, HomeRegions homes)
    : m_domainName(domain)
    , m_domain(domainHash(domain))
    , m_homes(std::move(homes))
    , m_trunk(trunk)
    , m_limits(limits)
    , m_codec(codec)
    , m_output(output)
    , m_startMillis(nowMillis)
    , m_membership(std::make_shared<Membership>())
    , m_peers(std::move(domain), seed, followLimits, limits.detectsOutliers ? OutlierMode::Avoid : OutlierMode::Off)
    , m_cold(nowMillis)
    , m_locator([this](std::uint32_t service) { return m_locators.agentsOf(service).size(); })
{
}

void PacketAgent::setMembership(MembershipPointer membership, std::uint64_t nowMillis)
{
    const auto before = std::exchange(m_membership, std::move(membership));
    updateColdLimit(*before, nowMillis);
    m_peers.setMembership(*m_membership, nowMillis);
    m_locators.setAgents(m_peers.agents());
    static const GoalOrder goalOrder;
    m_waiting.setOrder(usesLeastCost() ? static_cast<const OpeningOrder&>(m_leastCost) : goalOrder);
    const auto* self = m_peers.findByTrunk(m_trunk);
    m_member = self ? self->member : 0;
    confirmBackend();
    const bool wasEvacuated = std::exchange(m_isEvacuated, m_membership->isEvacuated(m_domainName));
    releaseStartupPackets(nowMillis);
    if (m_isEvacuated && !wasEvacuated)
        expireWaiting(nowMillis);
}

// Why a report must not take effect. An incarnation that is served stays so when its service is removed. Before the
// services are known, the first one is served until they are, and none may take its place.
std::optional<ReportStatus> PacketAgent::refusalOf(const BackendReport& report) const
{
    if (m_limits.backend.isSet() && report.address != m_limits.backend)
        return ReportStatus::OtherAddress;
    if (m_backend.isCurrent(report))
        return std::nullopt;
    const bool replacesUnchecked = m_membership->revision == 0 && m_backend.incarnation() != 0;
    const bool mayBeServed = m_membership->mayHaveService(report.service) && !replacesUnchecked;
    return mayBeServed ? std::nullopt : std::optional(ReportStatus::UnknownService);
}

// Decides on a backend server that has reported before the services were known. Without it, its flows are as those
// that are found before a first report.
void PacketAgent::confirmBackend()
{
    const auto& report = m_backend.report();
    if (!report || m_isBackendConfirmed || m_backendEnded)
        return;
    m_isBackendConfirmed = m_membership->serviceNamed(report->service) != nullptr;
    if (m_isBackendConfirmed || m_membership->mayHaveService(report->service))
        return;
    m_departureMillis = 0;
    m_restartMillis = 0;
    const std::uint64_t incarnation = m_backend.incarnation();
    m_backend.withdraw();
    m_flows.forEach([&](const PacketFlow&, PacketFlowEntry& entry) {
        if (entry.incarnation == incarnation)
            entry.incarnation = m_backend.incarnation();
    });
}

ReportStatus PacketAgent::handleReport(const BackendReport& report, std::uint64_t nowMillis)
{
    if (const auto refusal = refusalOf(report))
        return *refusal;
    const bool isFirst = m_backend.incarnation() == 0;
    const ReportStatus status = m_backend.update(report, nowMillis);
    m_meter.setSlots(m_backend.report() ? m_backend.report()->slots : 1);
    if (isFirst) {
        // Flows that were found before the first report belong to the backend server that reports now.
        m_flows.forEach(
            [this](const PacketFlow&, PacketFlowEntry& entry) { entry.incarnation = m_backend.incarnation(); });
    }
    if (status == ReportStatus::Renewed && !m_backendEnded)
        m_departureMillis = 0;
    if (status == ReportStatus::Renewed)
        m_restartMillis = 0;
    if (status == ReportStatus::NewIncarnation) {
        m_isBackendConfirmed = m_membership->serviceNamed(report.service) != nullptr;
        if (!isFirst)
            m_returnedFlows.clear(); // the first one returned them itself, before its report
        m_departureMillis = 0;
        m_backendEnded = false;
        if (isFirst) {
            m_restartMillis = 0;
        } else {
            keepFlowsAfterRestart(m_backend.incarnation() - 1);
            endFlows(m_backend.incarnation() - 1, FlowReason::BackendReplaced);
        }
        if (m_backend.mayBeOlderThanAgent())
            m_cold.assumeEarlierRequests(); // its reports tell how long it stays cold
        else
            m_cold.startColdPeriod(nowMillis);
    }
    if (status != ReportStatus::Stale) {
        m_cold.handleReport(report.coldRemainingMillis, nowMillis);
        updateColdLimit(*m_membership, nowMillis);
    }
    releaseStartupPackets(nowMillis);
    sendLoad(nowMillis);
    return status;
}

bool PacketAgent::handleDeparture(const std::string& id, std::uint64_t startedMillis, std::uint64_t nowMillis)
{
    const bool isDeparted = m_backend.markDeparted(id, startedMillis);
    if (isDeparted)
        m_departureMillis = nowMillis;
    sendLoad(nowMillis);
    return isDeparted;
}

void PacketAgent::drain(std::uint64_t nowMillis)
{
    m_draining = true;
    sendLoad(nowMillis);
}

FlowDecision PacketAgent::decisionOf(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow,
    const PacketEndpoint& peer, std::uint64_t inputAgeMillis) const
{
    const std::uint32_t slots = m_backend.report() ? m_backend.report()->slots : 0;
    return { verdict, reason, flow, peer, m_membership->revision, m_flows.busy(), slots, inputAgeMillis };
}

void PacketAgent::recordDecision(FlowVerdict verdict, FlowReason reason, const PacketFlow& flow,
    const PacketEndpoint& peer, std::uint64_t inputAgeMillis)
{
    m_output.recordDecision(decisionOf(verdict, reason, flow, peer, inputAgeMillis));
}

// Packets of existing flows.

void PacketAgent::receiveFromTrunk(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    if (datagram.empty())
        return;
    m_pauseDetector.observe(nowMillis);
    const EnvelopeKind kind = kindOf(datagram);
    if (kind == EnvelopeKind::Load) {
        if (const auto load = decodeLoad(datagram))
            m_peers.recordLoad(source, *load, nowMillis);
        return;
    }
    if (kind == EnvelopeKind::Subscribe) {
        if (const auto domain = decodeSubscribe(datagram))
            addSubscriber(source, *domain, nowMillis);
        return;
    }
    if (kind == EnvelopeKind::Query) {
        handleQuery(source, datagram, nowMillis);
        return;
    }
    if (kind == EnvelopeKind::Holder) {
        handleHolder(source, datagram, nowMillis);
        return;
    }
    if (kind == EnvelopeKind::Register) {
        handleRegister(source, datagram);
        return;
    }
    auto decoded = decodePacket(datagram);
    const auto header = decoded ? m_codec.decode(decoded->packet) : std::nullopt;
    if (header && kind == EnvelopeKind::Locate) {
        handleLocate(source, *decoded, *header, nowMillis);
        return;
    }
    if (!header || (kind != EnvelopeKind::Direct && kind != EnvelopeKind::Find)) {
        recordDecision(FlowVerdict::Dropped, FlowReason::Malformed, {}, source);
        return;
    }
    if (decoded->envelope.origin.port == 0)
        decoded->envelope.origin = source;
    else if (kind == EnvelopeKind::Find)
        decoded->envelope.locator = source;
    if (header->opens && m_pauseDetector.isCatchingUp(nowMillis))
        recordDecision(FlowVerdict::Dropped, FlowReason::Paused, header->flowFromCaller(), source);
    else if (header->opens)
        handleOpening(decoded->envelope, decoded->packet, *header, nowMillis);
    else
        handleExisting(decoded->envelope, decoded->packet, *header, nowMillis);
    acceptWaiting(nowMillis);
}

void PacketAgent::handleExisting(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    auto* entry = m_flows.find(flow);
    if (!entry) {
        handleUnknownFlow(envelope, packet, header, nowMillis);
        return;
    }
    if (entry->incarnation != m_backend.incarnation()) {
        const bool wasOpen = entry->state == PacketFlowState::Open;
        m_flows.erase(flow);
        if (wasOpen)
            resetFlow(
                flow, header.acknowledged, m_backendEnded ? FlowReason::BackendDeparted : FlowReason::BackendReplaced);
        else
            handleUnknownFlow(envelope, packet, header, nowMillis);
        return;
    }
    const bool isHalfOpen = entry->state == PacketFlowState::Offered || entry->state == PacketFlowState::Answered;
    const bool acknowledgesAnswer
        = entry->state == PacketFlowState::Answered && header.acknowledged - entry->answerSequence <= openingWindow;
    if (isHalfOpen && !acknowledgesAnswer) {
        if (envelope.kind == EnvelopeKind::Direct)
            returnToBalancer(envelope.origin, packet, flow);
        return;
    }
    if (envelope.kind == EnvelopeKind::Find && entry->state != PacketFlowState::Probed) {
        notifyHolder(flow, envelope.origin, envelope.locator, nowMillis);
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
    startRequest(entry, header, nowMillis);
    if (header.resets)
        m_meter.forgetRequest(header.flowFromCaller(), nowMillis);
    if (header.resets || header.finishes)
        m_flows.setBusy(entry, entry.busy && !header.resets);
    m_output.sendToBackend(packet);
}

// Counts a packet with new data as a request.
void PacketAgent::startRequest(PacketFlowEntry& entry, const PacketHeader& header, std::uint64_t nowMillis)
{
    // A retransmission may arrive after the answer; the backend server only acknowledges it.
    const bool isNew = header.dataBytes > 0
        && (!entry.requestSequence || static_cast<std::int32_t>(header.sequence - *entry.requestSequence) > 0);
    if (isNew)
        entry.requestSequence = header.sequence;
    // The backend server works on a long request only when it has all of it, so its slot is free for others until then.
    const bool isPart
        = header.dataBytes >= PacketCodec::fullDataBytes && m_membership->overload == OverloadPolicy::LeastCost;
    if (isNew && isPart && entry.requestMillis == 0)
        m_flows.setBusy(entry, false);
    if (isNew && !isPart && entry.requestMillis == 0 && !entry.backendFinished) {
        entry.busyBefore = entry.busy ? entry.busyBefore : m_flows.busy();
        entry.requestMillis = nowMillis;
        m_cold.addRequest(entry.busy, nowMillis);
        if (entry.busy)
            m_openingToRequestMillis
                += (static_cast<double>(nowMillis - entry.offeredMillis) - m_openingToRequestMillis)
                * openingToRequestSmoothing;
        m_flows.setBusy(entry, true);
        if (usesLeastCost() && m_backend.report())
            startWork(header.flowFromCaller(), nowMillis);
        if (m_limits.detectsOutliers)
            m_meter.startRequest(header.flowFromCaller(), nowMillis);
    }
}

// After a restart of this agent, the backend server may hold flows that the agent does not know. Such a flow is probed
// with one packet: the backend server answers it, or returns it if it does not hold the flow.
bool PacketAgent::backendMayHold(const PacketFlow& flow, std::uint64_t nowMillis) const
{
    return nowMillis - m_startMillis < m_limits.maximumFlowMillis && !m_backendEnded && !m_returnedFlows.contains(flow)
        && (m_backend.incarnation() == 0 || m_backend.mayBeOlderThanAgent());
}

void PacketAgent::handleUnknownFlow(
    const PacketEnvelope& envelope, PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    if (backendMayHold(flow, nowMillis) && !m_flows.isFull()) {
        auto& entry = m_flows.add(flow);
        entry.state = PacketFlowState::Probed;
        entry.incarnation = m_backend.incarnation();
        entry.offeredMillis = nowMillis;
        entry.activeMillis = nowMillis;
        entry.opening = encodePacket(envelope, {});
        entry.locator = envelope.locator;
        startRequest(entry, header, nowMillis);
        m_output.sendToBackend(packet);
        return;
    }
    if (envelope.kind == EnvelopeKind::Direct)
        returnToBalancer(envelope.origin, packet, flow);
}

void PacketAgent::returnToBalancer(const PacketEndpoint& balancer, PacketBytes packet, const PacketFlow& flow)
{
    PacketEnvelope envelope;
    envelope.kind = EnvelopeKind::Returned;
    m_output.sendToTrunk(balancer, encodePacket(envelope, packet));
    recordDecision(FlowVerdict::Passed, FlowReason::UnknownFlow, flow, balancer);
}

// The caller has sent a packet of an existing flow, so it has chosen one of the answers to its opening packet. A flow
// that is not open here, and whose answer it did not choose, will never be open here.
FlowHolding PacketAgent::holdingOf(const QueriedFlow& queried, std::uint64_t nowMillis)
{
    const auto* entry = m_flows.find(queried.flow);
    if (!entry)
        return m_flows.isFull() || backendMayHold(queried.flow, nowMillis) ? FlowHolding::Possible : FlowHolding::None;
    if (entry->incarnation != m_backend.incarnation())
        return FlowHolding::None;
    switch (entry->state) {
    case PacketFlowState::Open:
        return FlowHolding::Holds;
    case PacketFlowState::Probed:
        return FlowHolding::Possible;
    case PacketFlowState::Answered:
        return queried.acknowledged - entry->answerSequence <= openingWindow ? FlowHolding::Holds : FlowHolding::None;
    case PacketFlowState::Offered:
        break;
    }
    return FlowHolding::None;
}

void PacketAgent::handleQuery(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    const auto queried = decodeQuery(datagram);
    if (!queried) {
        recordDecision(FlowVerdict::Dropped, FlowReason::Malformed, {}, source);
        return;
    }
    FlowReply reply;
    reply.revision = m_membership->revision;
    for (const auto& flow : *queried)
        reply.flows.emplace_back(flow.flow, holdingOf(flow, nowMillis));
    m_output.sendToTrunk(source, encodeReply(reply));
}

// Resets the open flows of an incarnation that has ended, so that their callers do not wait in vain. The flows stay
// known: a reset may be lost.
void PacketAgent::endFlows(std::uint64_t incarnation, FlowReason reason)
{
    m_meter.failRequests();
    m_flows.forEach([&](const PacketFlow& flow, PacketFlowEntry& entry) {
        if (entry.incarnation != incarnation)
            return;
        entry.incarnation = endedIncarnation;
        m_flows.setBusy(entry, false);
        if (entry.state == PacketFlowState::Open && !(entry.callerFinished && entry.backendFinished))
            resetFlow(flow, entry.acknowledged, reason);
    });
}

// A backend server that has restarted accepts flows before its report arrives. They are those of its new incarnation.
void PacketAgent::keepFlowsAfterRestart(std::uint64_t incarnation)
{
    const std::uint64_t restartMillis = std::exchange(m_restartMillis, 0);
    if (restartMillis == 0)
        return;
    m_flows.forEach([&](const PacketFlow&, PacketFlowEntry& entry) {
        if (entry.incarnation == incarnation && entry.offeredMillis >= restartMillis)
            entry.incarnation = m_backend.incarnation();
    });
}

// A backend server ends right after its departure.
void PacketAgent::endFlowsAfterDeparture(std::uint64_t nowMillis)
{
    const bool isDue = m_departureMillis != 0 && nowMillis - m_departureMillis >= departureSilenceMillis;
    if (!isDue || m_backendEnded)
        return;
    m_backendEnded = true;
    endFlows(m_backend.incarnation(), FlowReason::BackendDeparted);
}

void PacketAgent::resetFlow(const PacketFlow& flow, std::uint32_t sequence, FlowReason reason)
{
    m_output.sendToCaller(flow.caller.host, m_codec.reset(flow, sequence));
    recordDecision(FlowVerdict::Reset, reason, flow);
}

// Packets from the backend server.

void PacketAgent::receiveFromBackend(PacketBytes packet, std::uint64_t nowMillis)
{
    const auto header = m_codec.decode(packet);
    if (!header) {
        recordDecision(FlowVerdict::Dropped, FlowReason::Malformed, {});
        return;
    }
    if (header->bounced) {
        handleBounced(packet, *header, nowMillis);
        return;
    }
    if (m_departureMillis != 0 && !m_backendEnded)
        m_departureMillis = nowMillis;
    recordBackendPacket(*header, nowMillis);
    m_output.sendToCaller(header->destination.host, packet);
    acceptWaiting(nowMillis);
}

void PacketAgent::recordBackendPacket(const PacketHeader& header, std::uint64_t nowMillis)
{
    m_backoffUntilMillis = 0;
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
        const auto decoded = decodePacket(entry->opening);
        entry->state = PacketFlowState::Open;
        entry->opening.clear();
        if (decoded)
            notifyHolder(flow, decoded->envelope.origin, entry->locator, nowMillis);
    }
    const bool isAnswer = header.dataBytes > 0 || header.finishes || header.resets;
    if (!isAnswer)
        return;
    const bool isFailure = header.resets || header.dataBytes == 0;
    m_meter.finishRequest(flow, isFailure ? RequestOutcome::Failed : RequestOutcome::Answered, nowMillis);
    if (entry->requestMillis != 0 && m_backend.report() && entry->busyBefore < m_backend.report()->slots) {
        m_serviceTimeSumMillis += static_cast<double>(nowMillis - entry->requestMillis);
        // A single short request says little about the others, so the estimate is updated by the mean of several.
        if (++m_serviceTimeSamples >= serviceTimeSamples) {
            const double mean = std::max(m_serviceTimeSumMillis / m_serviceTimeSamples, 1.0);
            m_serviceTimeMillis = m_serviceTimeMillis == 0
                ? mean
                : m_serviceTimeMillis + (mean - m_serviceTimeMillis) * serviceTimeSmoothing;
            m_serviceTimeSumMillis = 0;
            m_serviceTimeSamples = 0;
        }
    }
    recordWork(flow, nowMillis);
    if (entry->requestMillis != 0)
        m_output.recordLatency(LatencyKind::Request, nowMillis - entry->requestMillis);
    entry->requestMillis = 0;
    m_flows.setBusy(*entry, false);
}

void PacketAgent::startWork(const PacketFlow& flow, std::uint64_t nowMillis)
{
    const auto* route = m_membership->route(flow.route.address());
    const Work work = route ? m_leastCost.work(RequestClass::of(*route)) : m_leastCost.workOfAny({});
    m_running.start(flow, work.meanMillis, m_backend.report()->slots, nowMillis);
}

// Records the slot time of a request that was answered.
void PacketAgent::recordWork(const PacketFlow& flow, std::uint64_t nowMillis)
{
    if (!usesLeastCost() || !m_backend.report())
        return;
    m_leastCost.setSlots(m_backend.report()->slots);
    const auto millis = m_running.end(flow, m_backend.report()->slots, nowMillis);
    const auto* route = m_membership->route(flow.route.address());
    if (millis && route)
        m_leastCost.recordWork(RequestClass::of(*route), static_cast<double>(*millis));
}

void PacketAgent::handleBounced(PacketBytes packet, const PacketHeader& header, std::uint64_t nowMillis)
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
        const auto decoded = isOffered ? decodePacket(opening) : std::nullopt;
        if (!decoded)
            return;
        m_backoffUntilMillis = nowMillis + backoffMillis; // a backend server that has crashed returns all packets
        if (m_limits.detectsOutliers)
            m_meter.recordFailedOpening();
        forwardOrRefuse(decoded->envelope, restored, header, FlowReason::BackendRefused, nowMillis);
        return;
    }
    const auto state = entry->state;
    const auto probe = state == PacketFlowState::Probed ? decodePacket(entry->opening) : std::nullopt;
    const bool sameIncarnation = entry->incarnation == m_backend.incarnation();
    if (probe) {
        const PacketEnvelope envelope = probe->envelope;
        m_flows.erase(flow);
        if (m_returnedFlows.size() >= maximumReturnedFlows)
            m_returnedFlows.clear();
        m_returnedFlows.insert(flow);
        if (envelope.kind == EnvelopeKind::Direct)
            returnToBalancer(envelope.origin, restored, flow);
        return;
    }
    const bool isFinished = entry->callerFinished || entry->backendFinished;
    if (state == PacketFlowState::Open && !isFinished && sameIncarnation && m_restartMillis == 0)
        m_restartMillis = nowMillis;
    m_meter.finishRequest(flow, RequestOutcome::Failed, nowMillis);
    m_flows.erase(flow);
    if (state == PacketFlowState::Open && !isFinished)
        resetFlow(flow, header.acknowledged, sameIncarnation ? FlowReason::BackendForgot : FlowReason::BackendReplaced);
}

} // namespace yuccahook::flow
