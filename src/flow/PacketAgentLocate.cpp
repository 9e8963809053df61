#include "flow/PacketAgent.h"

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t registerIntervalMillis = 1000; // flows in between share a datagram
constexpr std::size_t maximumRegistrations = 1024; // in one interval, if all flows are due at once

} // namespace

// Locating flows for balancers; see FlowLocator.

void PacketAgent::handleLocate(
    const PacketEndpoint& source, const EnvelopedPacket& located, const PacketHeader& header, std::uint64_t nowMillis)
{
    const PacketFlow flow = header.flowFromCaller();
    const auto drop = [&](FlowReason reason) { recordDecision(FlowVerdict::Dropped, reason, flow, source); };
    const bool isRequest = located.envelope.origin.port == 0 && located.envelope.tried.empty() && !header.opens
        && !header.bounced && !m_peers.findByTrunk(source); // agents do not ask
    if (!isRequest) {
        drop(FlowReason::Forged);
        return;
    }
    const auto* service = m_membership->service(located.envelope.service);
    const bool isKnown = service && service->protocol == Protocol::Packet;
    if (m_membership->revision != 0 && !isKnown) {
        drop(FlowReason::OtherService);
        return;
    }
    const auto* entry = m_flows.find(flow);
    if (entry && entry->state == PacketFlowState::Open) {
        PacketEnvelope envelope;
        envelope.kind = EnvelopeKind::Find;
        envelope.origin = source;
        handleExisting(envelope, located.packet, header, nowMillis);
        return;
    }
    switch (m_locator.locate(flow, located.envelope.service, source, located.packet, nowMillis)) {
    case FlowLocator::Status::Accepted:
        sendLocated(nowMillis);
        break;
    case FlowLocator::Status::Repeated:
        drop(FlowReason::Repeated);
        break;
    case FlowLocator::Status::Full:
        drop(FlowReason::SearchesFull);
    }
}

void PacketAgent::sendLocated(std::uint64_t nowMillis)
{
    // What this agent finds itself may let further packets be sent.
    for (auto forwards = m_locator.takeForwards(); !forwards.empty(); forwards = m_locator.takeForwards())
        for (const auto& forward : forwards) {
            PacketEnvelope envelope;
            envelope.kind = EnvelopeKind::Find;
            envelope.origin = forward.origin;
            const auto datagram = encodePacket(envelope, forward.packet);
            const auto sendTo = [&](const PacketEndpoint& trunk) {
                if (trunk != m_trunk) {
                    m_output.sendToTrunk(trunk, datagram);
                    return;
                }
                envelope.locator = m_trunk;
                if (const auto header = m_codec.decode(forward.packet))
                    handleExisting(envelope, forward.packet, *header, nowMillis);
            };
            if (forward.holder) {
                sendTo(*forward.holder);
                continue;
            }
            for (const auto& trunk : m_locators.agentsOf(forward.service))
                sendTo(trunk);
        }
}

// Tells the balancer that asked, and the locator that asked for it, that the flow is held here.
void PacketAgent::notifyHolder(
    const PacketFlow& flow, const PacketEndpoint& balancer, const PacketEndpoint& locator, std::uint64_t nowMillis)
{
    const auto message = encodeHolder(flow);
    m_output.sendToTrunk(balancer, message);
    recordDecision(FlowVerdict::Found, FlowReason::None, flow, balancer);
    if (locator == m_trunk)
        m_locator.handleHolder(flow, m_trunk, nowMillis); // sendLocated() or the next tick sends what follows
    else if (locator.port != 0)
        m_output.sendToTrunk(locator, message);
}

void PacketAgent::handleHolder(const PacketEndpoint& source, PacketBytes datagram, std::uint64_t nowMillis)
{
    const auto flow = decodeHolder(datagram);
    const auto drop = [&](FlowReason reason) {
        recordDecision(FlowVerdict::Dropped, reason, flow.value_or(PacketFlow {}), source);
    };
    if (!flow)
        drop(FlowReason::Malformed);
    else if (!m_peers.findByTrunk(source))
        drop(FlowReason::Forged);
    else if (!m_locator.handleHolder(*flow, source, nowMillis))
        drop(FlowReason::Stale);
    sendLocated(nowMillis);
}

void PacketAgent::handleRegister(const PacketEndpoint& source, PacketBytes datagram)
{
    const auto flows = decodeRegister(datagram);
    const auto* agent = m_peers.findByTrunk(source);
    if (!flows || !agent) {
        recordDecision(FlowVerdict::Dropped, flows ? FlowReason::Forged : FlowReason::Malformed, {}, source);
        return;
    }
    for (const PacketFlow& flow : *flows) {
        if (m_locators.locator(agent->service, flow) == m_trunk)
            m_locator.registerFlow(flow, source);
        else
            recordDecision(FlowVerdict::Dropped, FlowReason::Stale, flow, source);
    }
}

void PacketAgent::registerFlows(std::uint64_t nowMillis)
{
    if (nowMillis - m_lastRegisterMillis < registerIntervalMillis)
        return;
    m_lastRegisterMillis = nowMillis;
    const auto* self = m_peers.findByTrunk(m_trunk);
    if (!self)
        return;
    std::unordered_map<PacketEndpoint, std::vector<PacketFlow>> batches; // by locator
    std::size_t registrations = 0;
    const auto send = [this](const PacketEndpoint& locator, std::vector<PacketFlow>& batch) {
        m_output.sendToTrunk(locator, encodeRegister(batch));
        batch.clear();
    };
    m_flows.forEach([&](const PacketFlow& flow, PacketFlowEntry& entry) {
        const bool isHeld = entry.incarnation == m_backend.incarnation();
        if (!isHeld || registrations >= maximumRegistrations || !FlowLocator::isRegistrationDue(entry, nowMillis))
            return;
        const auto locator = m_locators.locator(self->service, flow);
        if (!locator)
            return;
        entry.registeredMillis = nowMillis;
        ++registrations;
        if (*locator == m_trunk)
            return; // known here
        auto& batch = batches[*locator];
        batch.push_back(flow);
        if (batch.size() == maximumRegisteredFlows)
            send(*locator, batch);
    });
    for (auto& [locator, batch] : batches) {
        if (!batch.empty())
            send(locator, batch);
    }
}

} // namespace yuccahook::flow
