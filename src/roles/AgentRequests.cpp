#include "roles/AgentRequests.h"

#include "request/PeerOfferServer.h"

#include <kj/debug.h>
#include <random>

namespace yuccahook::roles {

AgentRequests::AgentRequests(net::EventLoop& loop, observe::Counters& counters)
    : m_loop(loop)
    , m_peers(loop)
    , m_claims(loop, m_peers, counters)
    , m_offers(loop, m_peers)
    , m_gate(loop.timer(), m_offers, counters, std::random_device {}())
    , m_front(
          loop, m_claims, m_gate, [this] { return connectBackend(); }, counters)
{
}

void AgentRequests::setMembership(const flow::MembershipPointer& membership, std::uint32_t member)
{
    m_peers.retainMembers(*membership);
    const auto* self = membership->member(member);
    const auto* service = self ? membership->service(self->service) : nullptr;
    if (service) {
        const auto policy = request::parseRequestPolicy(service->requestPolicy);
        m_claims.setPolicy(policy);
        m_front.setService(service->id, policy);
        m_gate.setSettings(policy.admission);
    }
    m_offers.setMembership(membership, member);
    m_gate.setPeers(m_offers.peers());
    m_claims.setMembership(membership, member);
}

kj::Own<request::HttpFrontend::Session> AgentRequests::serve(kj::Own<kj::AsyncIoStream> stream)
{
    return m_front.serve(kj::mv(stream));
}

schema::SlotPeer::Client AgentRequests::slots()
{
    return kj::heap<request::PeerOfferServer>(m_loop.timer(), m_gate, [this] { return connectBackend(); });
}

kj::Promise<kj::Own<kj::AsyncIoStream>> AgentRequests::connectBackend()
{
    KJ_REQUIRE(m_backend.has_value(), "no backend server");
    sockaddr_storage socket {};
    const socklen_t length = m_backend->toSocket(socket);
    auto target = m_loop.network().getSockaddr(&socket, length);
    auto connecting = target->connect();
    return connecting.attach(kj::mv(target));
}

} // namespace yuccahook::roles
