#include "flow/FlowLocator.h"

#include <algorithm>

namespace yuccahook::flow {

FlowLocator::Status FlowLocator::locate(const PacketFlow& flow, std::uint32_t service, const PacketEndpoint& origin,
    PacketBytes packet, std::uint64_t nowMillis)
{
    auto found = m_requests.find(flow);
    // Without a tick in between, the window may have passed.
    if (found != m_requests.end() && found->second.stage == Stage::AllAsked
        && nowMillis - found->second.sinceMillis >= windowMillis) {
        poll(nowMillis);
        found = m_requests.find(flow);
    }
    const bool isNew = found == m_requests.end();
    if ((isNew && m_requests.size() >= maximumFlows) || m_keptBytes + packet.size() > maximumKeptBytes)
        return Status::Full;
    if (isNew)
        found = m_requests.try_emplace(flow).first;
    Request& request = found->second;
    const bool hasAsked = std::any_of(
        request.askers.begin(), request.askers.end(), [&origin](const Asker& asker) { return asker.origin == origin; });
    if (hasAsked)
        return Status::Repeated;
    if (request.askers.size() >= maximumAskers)
        return Status::Full;
    m_keptBytes += packet.size();
    request.askers.push_back({ origin, { packet.begin(), packet.end() } });
    if (!isNew)
        return Status::Accepted;
    request.service = service;
    request.sinceMillis = nowMillis;
    if (const auto holder = hint(flow)) {
        request.stage = Stage::HintAsked;
        m_forwards.push_back({ origin, { packet.begin(), packet.end() }, service, holder });
    } else
        askAll(request, nowMillis);
    return Status::Accepted;
}

void FlowLocator::dropPacket(Asker& asker)
{
    m_keptBytes -= asker.packet.size();
    asker.packet.clear();
}

// The request waits if the agents are not known or the rate is used up.
void FlowLocator::askAll(Request& request, std::uint64_t nowMillis)
{
    constexpr std::uint64_t millisPerSecond = 1000;
    const std::uint64_t elapsedMillis = std::min(nowMillis - m_allowanceMillis, millisPerSecond);
    m_allowance = std::min(m_allowance + elapsedMillis * datagramsPerSecond / millisPerSecond, datagramsPerSecond);
    m_allowanceMillis = nowMillis;
    const std::size_t agents = m_agentCount(request.service);
    if (request.stage != Stage::Waiting) {
        request.stage = Stage::Waiting;
        request.sinceMillis = nowMillis;
    }
    if (agents == 0 || m_allowance < agents)
        return;
    m_allowance -= agents;
    request.stage = Stage::AllAsked;
    request.sinceMillis = nowMillis;
    Asker& first = request.askers.front();
    m_forwards.push_back({ first.origin, first.packet, request.service, std::nullopt });
    dropPacket(first);
}

bool FlowLocator::handleHolder(const PacketFlow& flow, const PacketEndpoint& holder, std::uint64_t /*nowMillis*/)
{
    const auto found = m_requests.find(flow);
    if (found == m_requests.end())
        return hint(flow) == holder;
    Request& request = found->second;
    // The first balancer's packet has reached the holder, which has told that balancer.
    for (auto asker = request.askers.begin(); asker != request.askers.end(); ++asker) {
        const bool isSent = asker == request.askers.begin() && request.stage != Stage::Waiting;
        if (!isSent)
            m_forwards.push_back({ asker->origin, asker->packet, request.service, holder });
        dropPacket(*asker);
    }
    m_requests.erase(found);
    registerFlow(flow, holder);
    return true;
}

void FlowLocator::registerFlow(const PacketFlow& flow, const PacketEndpoint& holder)
{
    if (m_hints.size() >= maximumHints)
        m_olderHints = std::exchange(m_hints, {});
    m_hints.insert_or_assign(flow, holder);
}

std::optional<PacketEndpoint> FlowLocator::hint(const PacketFlow& flow) const
{
    for (const auto* hints : { &m_hints, &m_olderHints }) {
        if (const auto found = hints->find(flow); found != hints->end())
            return found->second;
    }
    return std::nullopt;
}

void FlowLocator::eraseHint(const PacketFlow& flow)
{
    m_hints.erase(flow);
    m_olderHints.erase(flow);
}

void FlowLocator::poll(std::uint64_t nowMillis)
{
    if (nowMillis - m_hintsAgedMillis >= hintAgeMillis) {
        m_hintsAgedMillis = nowMillis;
        m_olderHints = std::exchange(m_hints, {});
    }
    for (auto position = m_requests.begin(); position != m_requests.end();) {
        Request& request = position->second;
        const std::uint64_t ageMillis = nowMillis - request.sinceMillis;
        if (request.stage == Stage::HintAsked && ageMillis >= confirmMillis) {
            eraseHint(position->first);
            askAll(request, nowMillis);
        } else if (request.stage == Stage::Waiting && ageMillis < waitMillis)
            askAll(request, nowMillis);
        const std::uint64_t endMillis = request.stage == Stage::Waiting ? waitMillis : windowMillis;
        if (nowMillis - request.sinceMillis < endMillis) {
            ++position;
            continue;
        }
        for (Asker& asker : request.askers)
            dropPacket(asker);
        position = m_requests.erase(position);
    }
}

// An entry without packets a second after its opening belongs to a flow for one request.
bool FlowLocator::isRegistrationDue(const PacketFlowEntry& entry, std::uint64_t nowMillis)
{
    const bool isLong = entry.state == PacketFlowState::Open && !entry.callerFinished && !entry.backendFinished
        && entry.activeMillis - entry.offeredMillis >= registeredAfterMillis;
    return isLong && (entry.registeredMillis == 0 || nowMillis - entry.registeredMillis >= repeatRegistrationMillis);
}

} // namespace yuccahook::flow
