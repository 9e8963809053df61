#include "request/ClaimCoordinator.h"

#include "observe/Log.h"
#include "request/ClaimCodec.h"

#include <nlohmann/json.hpp>

namespace yuccahook::request {

/// Receives the claim messages of other agents.
class ClaimCoordinator::PeerServer final : public schema::RequestPeer::Server {
public:
    explicit PeerServer(ClaimCoordinator& claims)
        : m_claims(claims)
    {
    }

    kj::Promise<void> ping(PingContext context) override
    {
        context.getResults().setMember(m_claims.m_table.view().self());
        return kj::READY_NOW;
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        m_claims.deliver(context.getParams().getMessage());
        return kj::READY_NOW;
    }

private:
    ClaimCoordinator& m_claims;
};

ClaimCoordinator::ClaimCoordinator(net::EventLoop& loop, net::TrunkPool& peers, observe::Counters& counters)
    : m_loop(loop)
    , m_peers(peers)
    , m_counters(counters)
    , m_table(ClaimLimits {})
    , m_tasks(*this)
{
    m_tasks.add(tick());
}

schema::RequestPeer::Client ClaimCoordinator::peer() { return kj::heap<PeerServer>(*this); }

Time ClaimCoordinator::now() const
{
    return std::chrono::nanoseconds((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
}

void ClaimCoordinator::setMembership(const flow::MembershipPointer& membership, std::uint32_t self)
{
    m_membership = membership;
    m_table.setView(ClaimView::fromMembership(*membership, self), now());
    flush();
}

void ClaimCoordinator::setPolicy(const RequestPolicy& policy)
{
    ClaimLimits limits;
    limits.maximumClaims = policy.maximumClaims;
    limits.retention = std::chrono::seconds(policy.retentionSeconds);
    m_table.setLimits(limits);
}

kj::Promise<ClaimDecision> ClaimCoordinator::acquire(const std::string& key, const RequestDigest& digest)
{
    const std::uint64_t attempt = m_table.acquire(key, digest, now());
    auto decision = kj::newPromiseAndFulfiller<ClaimDecision>();
    m_waiting[attempt] = kj::mv(decision.fulfiller);
    flush();
    return decision.promise.attach(kj::defer([this, attempt] {
        if (m_waiting.erase(attempt) > 0)
            m_table.abandon(attempt);
    }));
}

void ClaimCoordinator::finish(std::uint64_t attempt, ClaimState state, AnswerPointer answer)
{
    m_table.finish(attempt, state, std::move(answer), now());
    flush();
}

void ClaimCoordinator::deliver(schema::ClaimMessage::Reader message)
{
    m_table.receive(readClaimMessage(message), now());
    flush();
}

void ClaimCoordinator::flush()
{
    for (const auto& outgoing : m_table.takeMessages()) {
        const auto* member = m_membership ? m_membership->member(outgoing.to) : nullptr;
        if (member)
            sendTo(*member, outgoing.message);
    }
    for (auto& decision : m_table.takeDecisions()) {
        auto waiting = m_waiting.extract(decision.attempt);
        if (!waiting.empty())
            waiting.mapped()->fulfill(kj::mv(decision));
    }
    m_counters.counter("claims_held") = m_table.size();
    m_counters.counter("claims_held_bytes") = m_table.bytes();
    m_counters.counter("claims_settled") = m_table.settled() ? 1 : 0;
}

void ClaimCoordinator::sendTo(const flow::Member& member, const ClaimMessage& message)
{
    m_counters.counter("claim_messages_sent_total", "kind", kernel::nameOf(message.kind)) += 1;
    m_tasks.add(m_peers.connect(member).then([message](schema::AgentNode::Client node) {
        auto request = node.requestsRequest().send().getPeer().deliverRequest();
        writeClaimMessage(message, request.initMessage());
        return request.send().ignoreResult();
    }));
}

kj::Promise<void> ClaimCoordinator::tick()
{
    return m_loop.timer()
        .afterDelay(ClaimTable::tickInterval / std::chrono::nanoseconds(1) * kj::NANOSECONDS)
        .then([this] {
            m_table.tick(now());
            flush();
            return tick();
        });
}

// The connection was lost; ClaimTable::tick sends the messages that matter again.
void ClaimCoordinator::taskFailed(kj::Exception&&) { m_counters.counter("claim_messages_lost_total") += 1; }

} // namespace yuccahook::request
