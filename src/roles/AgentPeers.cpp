#include "roles/AgentPeers.h"

#include "net/PeerMessageCodec.h"

namespace yuccahook::roles {

namespace {

constexpr auto tickInterval = 100 * kj::MILLISECONDS;
constexpr auto sendTimeout = 2 * kj::SECONDS;
constexpr std::size_t maximumInFlight = 1024;

} // namespace

/// Handles the messages of peers.
class AgentPeers::Server final : public schema::FlowPeer::Server {
public:
    explicit Server(AgentPeers& peers)
        : m_peers(peers)
    {
    }

    kj::Promise<void> tell(TellContext context) override
    {
        m_peers.m_flows.receive(net::readPeerMessage(context.getParams().getMessage()), m_peers.now());
        m_peers.flush();
        return kj::READY_NOW;
    }

private:
    AgentPeers& m_peers;
};

AgentPeers::AgentPeers(net::EventLoop& loop, observe::Counters& counters, flow::AgentFlows& flows)
    : m_loop(loop)
    , m_flows(flows)
    , m_pool(loop)
    , m_sent(counters.counter("flow_messages_sent_total"))
    , m_failed(counters.counter("flow_messages_failed_total"))
    , m_opened(counters.counter("flows_opened_total"))
    , m_placed(counters.counter("flows_placed_on_peers_total"))
    , m_declined(counters.counter("flow_placements_declined_total"))
    , m_bucketsTakenOver(counters.counter("buckets_taken_over_total"))
    , m_bucketsRecovered(counters.counter("buckets_recovered_total"))
    , m_bucketsWaiting(counters.counter("buckets_waiting"))
    , m_conflicts(counters.counter("flow_conflicts_total"))
    , m_directoryEntries(counters.counter("flow_directory_entries"))
{
    loop.spawn(tick());
}

schema::FlowPeer::Client AgentPeers::peer() { return kj::heap<Server>(*this); }

void AgentPeers::setMembership(flow::MembershipPointer membership)
{
    m_membership = std::move(membership);
    m_pool.retainMembers(*m_membership);
    flush();
}

flow::Time AgentPeers::now() const
{
    return std::chrono::nanoseconds((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
}

kj::Promise<void> AgentPeers::tick()
{
    return m_loop.timer().afterDelay(tickInterval).then([this] {
        m_flows.tick(now());
        flush();
        publishCounts();
        return tick();
    });
}

void AgentPeers::flush()
{
    for (const auto& message : m_flows.takeMessages())
        send(message);
}

void AgentPeers::send(const flow::PeerMessage& message)
{
    const flow::Member* member = m_membership ? m_membership->member(message.to) : nullptr;
    if (!member || m_inFlight >= maximumInFlight) {
        ++m_failed;
        return;
    }
    ++m_inFlight;
    ++m_sent;
    auto sending = m_pool.connect(*member).then([message](schema::AgentNode::Client node) {
        auto request = node.flowsRequest().send().getPeer().tellRequest();
        net::writePeerMessage(request.initMessage(), message);
        return request.send().ignoreResult();
    });
    m_loop.spawn(m_loop.timer()
                     .timeoutAfter(sendTimeout, kj::mv(sending))
                     .then([this] { --m_inFlight; },
                         [this](kj::Exception&&) {
                             --m_inFlight;
                             ++m_failed;
                         }));
}

void AgentPeers::publishCounts()
{
    const auto& counts = m_flows.counts();
    m_opened = counts.opened;
    m_placed = counts.placedOnPeers;
    m_declined = counts.declined;
    m_bucketsTakenOver = counts.bucketsTakenOver;
    m_bucketsRecovered = counts.bucketsRecovered;
    m_conflicts = counts.conflicts;
    m_bucketsWaiting = m_flows.bucketsWaiting();
    m_directoryEntries = m_flows.directorySize();
}

} // namespace yuccahook::roles
