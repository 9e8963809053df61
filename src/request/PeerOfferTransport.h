#pragma once

#include "flow/Membership.h"
#include "net/EventLoopThread.h"
#include "net/TrunkPool.h"
#include "request/AdmissionGate.h"
#include "trunk.capnp.h"

namespace yuccahook::request {

/// Makes an offer to an agent and turns its answer into a slot, which reports its end through `tasks`.
kj::Promise<OfferAnswer> offerSlot(schema::SlotPeer::Client peer, std::uint32_t self, const AdmissionRequest& request,
    SlotLoad load, AdmissionTime now, kj::TaskSet& tasks);

/// Carries offers over the agents' trunks.
class PeerOfferTransport final : public OfferTransport, private kj::TaskSet::ErrorHandler {
public:
    PeerOfferTransport(net::EventLoop& loop, net::TrunkPool& pool);

    void setMembership(flow::MembershipPointer membership, std::uint32_t self);

    /// The members that an offer may go to.
    std::vector<std::uint32_t> peers() const;

    kj::Promise<OfferAnswer> offer(std::uint32_t peer, const AdmissionRequest& request, SlotLoad load) override;

private:
    void taskFailed(kj::Exception&& exception) override;

    net::EventLoop& m_loop;
    net::TrunkPool& m_pool;
    flow::MembershipPointer m_membership;
    std::uint32_t m_self = 0;
    kj::TaskSet m_tasks;
};

} // namespace yuccahook::request
