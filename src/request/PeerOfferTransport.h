#pragma once

#include "flow/Membership.h"
#include "net/EventLoopThread.h"
#include "net/TrunkPool.h"
#include "request/AdmissionGate.h"
#include "trunk.capnp.h"

namespace yuccahook::request {

/// Sends an offer to a peer agent and makes a slot of its reply. The slot reports its end through `tasks`, which must
/// outlive it. `self` is this agent's member id; `load` is this agent's load.
kj::Promise<OfferReply> offerSlot(schema::SlotPeer::Client peer, std::uint32_t self, const AdmissionRequest& request,
    SlotLoad load, AdmissionTime now, kj::TaskSet& tasks);

/// Sends offers over the trunks between agents.
class PeerOfferTransport final : public OfferTransport, private kj::TaskSet::ErrorHandler {
public:
    PeerOfferTransport(net::EventLoop& loop, net::TrunkPool& pool);

    void setMembership(flow::MembershipPointer membership, std::uint32_t self);

    /// The other members of the service that are ready, by member id; empty before this agent is a member.
    std::vector<std::uint32_t> peers() const;

    kj::Promise<OfferReply> offer(std::uint32_t peer, const AdmissionRequest& request, SlotLoad load) override;

private:
    void taskFailed(kj::Exception&& exception) override;

    net::EventLoop& m_loop;
    net::TrunkPool& m_pool;
    flow::MembershipPointer m_membership;
    std::uint32_t m_self = 0;
    kj::TaskSet m_tasks;
};

} // namespace yuccahook::request
