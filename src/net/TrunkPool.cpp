#include "net/TrunkPool.h"

#include "observe/Log.h"

#include <nlohmann/json.hpp>

namespace yuccahook::net {

namespace {

constexpr auto connectTimeout = 1 * kj::SECONDS;
constexpr auto heartbeatInterval = 1 * kj::SECONDS;
constexpr auto heartbeatTimeout = 2 * kj::SECONDS;

} // namespace

TrunkPool::Connection::Connection(kj::Own<kj::AsyncIoStream> connected)
    : stream(kj::mv(connected))
    , rpc(*stream)
    , node(rpc.bootstrap().castAs<schema::AgentNode>())
{
}

TrunkPool::TrunkPool(EventLoop& loop)
    : m_loop(loop)
{
}

kj::Promise<schema::AgentNode::Client> TrunkPool::connect(const flow::Member& member)
{
    Entry& entry = m_connections[member.id];
    KJ_IF_MAYBE (connection, entry.connection) {
        return (*connection)->node;
    }
    if (!entry.connecting) {
        entry.connecting = true;
        entry.ready = openConnection(member.id, member.trunk).fork();
    }
    return entry.ready.addBranch().then([this, id = member.id]() -> schema::AgentNode::Client {
        const auto found = m_connections.find(id);
        KJ_REQUIRE(found != m_connections.end(), "agent has left the membership");
        return KJ_REQUIRE_NONNULL(found->second.connection, "trunk to agent lost")->node;
    });
}

kj::Promise<void> TrunkPool::openConnection(std::uint32_t member, const Address& address)
{
    sockaddr_storage socket {};
    const socklen_t length = address.toSocket(socket);
    auto target = m_loop.network().getSockaddr(&socket, length);
    auto connecting = target->connect().attach(kj::mv(target));
    return m_loop.timer()
        .timeoutAfter(connectTimeout, kj::mv(connecting))
        .then(
            [this, member](auto stream) {
                const auto found = m_connections.find(member);
                if (found == m_connections.end())
                    return;
                found->second.connecting = false;
                auto connection = kj::heap<Connection>(kj::mv(stream));
                connection->heartbeats
                    = sendHeartbeats(member, *connection).eagerlyEvaluate([this, member](kj::Exception&& exception) {
                          observe::log(observe::Level::Warn, "trunk-lost",
                              { { "member", member }, { "reason", exception.getDescription().cStr() } });
                          dropConnection(member);
                      });
                found->second.connection = kj::mv(connection);
            },
            [this, member](kj::Exception&& exception) {
                const auto found = m_connections.find(member);
                if (found != m_connections.end())
                    found->second.connecting = false;
                kj::throwFatalException(kj::mv(exception));
            });
}

kj::Promise<void> TrunkPool::sendHeartbeats(std::uint32_t member, Connection& connection)
{
    return m_loop.timer()
        .afterDelay(heartbeatInterval)
        .then([this, &connection] {
            auto ping = connection.node.streamsRequest().send().getTrunk().pingRequest().send();
            return m_loop.timer().timeoutAfter(heartbeatTimeout, ping.ignoreResult());
        })
        .then([this, member, &connection] { return sendHeartbeats(member, connection); });
}

// Deferred, because a heartbeat of the connection may be running.
void TrunkPool::dropConnection(std::uint32_t member)
{
    m_loop.spawn(kj::evalLater([this, member] {
        const auto found = m_connections.find(member);
        if (found != m_connections.end())
            found->second.connection = nullptr;
    }));
}

void TrunkPool::retainMembers(const flow::Membership& membership)
{
    std::erase_if(m_connections,
        [&membership](const auto& entry) { return !membership.member(entry.first) && !entry.second.connecting; });
}

} // namespace yuccahook::net
