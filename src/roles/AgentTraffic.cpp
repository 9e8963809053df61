#include "roles/AgentTraffic.h"

#include "net/KeepAlive.h"
#include "observe/Log.h"

#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace yuccahook::roles {

namespace {

kj::Own<kj::NetworkAddress> networkAddress(kj::Network& network, const net::Address& address)
{
    sockaddr_storage socket {};
    const socklen_t length = address.toSocket(socket);
    return network.getSockaddr(&socket, length);
}

} // namespace

/// The RPC bootstrap interface of the agent's trunk.
class AgentTraffic::NodeServer final : public schema::AgentNode::Server {
public:
    explicit NodeServer(AgentTraffic& traffic)
        : m_streams(traffic.m_streams.trunk())
        , m_flows(traffic.m_peers.peer())
        , m_requests(traffic.m_requests.peer())
        , m_slots(traffic.m_requests.slots())
    {
    }

    kj::Promise<void> streams(StreamsContext context) override
    {
        context.getResults().setTrunk(m_streams);
        return kj::READY_NOW;
    }

    kj::Promise<void> flows(FlowsContext context) override
    {
        context.getResults().setPeer(m_flows);
        return kj::READY_NOW;
    }

    kj::Promise<void> requests(RequestsContext context) override
    {
        context.getResults().setPeer(m_requests);
        return kj::READY_NOW;
    }

    kj::Promise<void> slots(SlotsContext context) override
    {
        context.getResults().setPeer(m_slots);
        return kj::READY_NOW;
    }

private:
    schema::StreamTrunk::Client m_streams;
    schema::FlowPeer::Client m_flows;
    schema::RequestPeer::Client m_requests;
    schema::SlotPeer::Client m_slots;
};

AgentTraffic::AgentTraffic(std::string name, const settings::AgentSettings& settings, net::EventLoop& loop,
    observe::Counters& counters, std::atomic<std::uint64_t>& openFlows)
    : m_name(std::move(name))
    , m_settings(settings)
    , m_openFlows(openFlows)
    , m_flows(settings.maximumFlows)
    , m_requests(loop, counters)
    , m_streams(loop, counters, m_flows, m_requests)
    , m_datagrams(settings.trunk, loop, counters, m_flows)
    , m_peers(loop, counters, m_flows)
{
    m_server = kj::heap<capnp::TwoPartyServer>(kj::heap<NodeServer>(*this));
    m_receiver = networkAddress(loop.network(), settings.trunk)->listen();
    m_streams.onChange([this] { updateOpenFlows(); });
    m_datagrams.onChange([this] { updateOpenFlows(); });
    loop.spawn(acceptTrunks());
}

AgentTraffic::~AgentTraffic() = default;

void AgentTraffic::setMembership(flow::MembershipPointer membership)
{
    m_membership = std::move(membership);
    applyMembership();
}

void AgentTraffic::setIncarnation(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    applyMembership();
}

void AgentTraffic::applyMembership()
{
    if (!m_membership)
        return;
    m_member = findOwnMember();
    m_flows.setMembership(m_membership, m_member);
    m_streams.setMembership(m_membership, m_member);
    m_datagrams.setMembership(m_membership, m_member);
    m_peers.setMembership(m_membership);
    m_requests.setMembership(m_membership, m_member);
}

std::uint32_t AgentTraffic::findOwnMember() const
{
    for (const auto& member : m_membership->members) {
        if (member.agent == m_name && member.incarnation == m_incarnation)
            return member.id;
    }
    return 0;
}

void AgentTraffic::setBackend(const net::Address& address)
{
    m_datagrams.setBackend(address);
    m_streams.setBackend(address);
    m_requests.setBackend(address);
}

void AgentTraffic::setSlots(std::uint32_t slots) { m_requests.setSlots(slots); }

void AgentTraffic::drain()
{
    m_flows.drain();
    m_streams.drain();
    m_requests.drain();
}

kj::Promise<void> AgentTraffic::acceptTrunks()
{
    return m_receiver->accept().then([this](auto stream) {
        net::enableKeepAlive(*stream);
        m_server->accept(kj::mv(stream));
        return acceptTrunks();
    });
}

void AgentTraffic::updateOpenFlows() { m_openFlows = m_streams.size() + m_datagrams.size(); }

} // namespace yuccahook::roles
