#include "control/QuorumRelay.h"

namespace yuccahook::control {

QuorumRelay::QuorumRelay(std::uint32_t id, const std::vector<std::uint32_t>&)
    : m_id(id)
{
}

// Replies with disk 0, so that instances that bootstrap a cluster know that this one has no disk.
void QuorumRelay::receive(const QuorumMessage& message, std::uint64_t)
{
    if (message.kind != MessageKind::Hello)
        return;
    QuorumMessage reply;
    reply.kind = MessageKind::HelloReply;
    reply.from = m_id;
    reply.to = message.from;
    reply.echo = message.echo;
    m_messages.push_back(std::move(reply));
}

void QuorumRelay::tick(std::uint64_t) { }

void QuorumRelay::addDiscoveryPeers(const std::vector<std::uint32_t>&) { }

std::optional<QuorumRelay::RequestTarget> QuorumRelay::requestTarget(std::uint64_t) const { return std::nullopt; }

} // namespace yuccahook::control
