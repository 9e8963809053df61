#include "request/PeerOfferTransport.h"

#include "net/StreamRelay.h"
#include "request/PeerOfferCodec.h"

#include <kj/debug.h>

namespace yuccahook::request {

namespace {

constexpr auto offerTimeout = 250 * kj::MILLISECONDS;

/// A slot of another agent's backend server. Destroying it releases the slot there.
class PeerSlot final : public Slot {
public:
    PeerSlot(schema::OfferedSlot::Client slot, kj::Own<net::StreamRelay> relay, kj::Own<kj::AsyncIoStream> connection,
        kj::TaskSet& tasks)
        : m_slot(kj::mv(slot))
        , m_relay(kj::mv(relay))
        , m_connection(kj::mv(connection))
        , m_tasks(tasks)
    {
    }

    ~PeerSlot() noexcept(false) override { m_relay->reset(flow::RefusalReason::None); }

    void finish(DispatchResult result) override
    {
        auto request = m_slot.finishRequest();
        request.setResult(static_cast<std::uint8_t>(result));
        m_tasks.add(request.send().ignoreResult());
    }

    kj::Own<kj::AsyncIoStream> takeConnection() override { return kj::mv(m_connection); }

private:
    schema::OfferedSlot::Client m_slot;
    kj::Own<net::StreamRelay> m_relay;
    kj::Own<kj::AsyncIoStream> m_connection;
    kj::TaskSet& m_tasks;
};

} // namespace

kj::Promise<OfferReply> offerSlot(schema::SlotPeer::Client peer, std::uint32_t self, const AdmissionRequest& request,
    SlotLoad load, AdmissionTime now, kj::TaskSet& tasks)
{
    auto pipe = kj::newTwoWayPipe();
    auto relay = kj::refcounted<net::StreamRelay>(kj::mv(pipe.ends[0]));
    auto call = peer.offerRequest();
    auto offer = call.initOffer();
    writeOffer(offer, request, now);
    offer.setFrom(self);
    writeLoad(offer.initLoad(), load);
    offer.setEnd(relay->streamEnd());
    return call.send().then(
        [relay = kj::mv(relay), connection = kj::mv(pipe.ends[1]), &tasks](auto&& response) mutable -> OfferReply {
            const SlotLoad load = readLoad(response.getLoad());
            if (!response.hasSlot())
                return { {}, load };
            relay->attach(response.getEnd(), 0);
            return { kj::heap<PeerSlot>(response.getSlot(), kj::mv(relay), kj::mv(connection), tasks), load };
        });
}

PeerOfferTransport::PeerOfferTransport(net::EventLoop& loop, net::TrunkPool& pool)
    : m_loop(loop)
    , m_pool(pool)
    , m_tasks(*this)
{
}

// Failing to report the end needs no handling: the peer also releases the slot when the trunk is lost.
void PeerOfferTransport::taskFailed(kj::Exception&&) { }

void PeerOfferTransport::setMembership(flow::MembershipPointer membership, std::uint32_t self)
{
    m_membership = std::move(membership);
    m_self = self;
}

std::vector<std::uint32_t> PeerOfferTransport::peers() const
{
    std::vector<std::uint32_t> peers;
    const auto* self = m_membership ? m_membership->member(m_self) : nullptr;
    if (!self)
        return peers;
    for (const auto& member : m_membership->members) {
        const bool takesWork = member.state == flow::MemberState::Ready;
        if (member.service == self->service && member.id != m_self && takesWork)
            peers.push_back(member.id);
    }
    return peers;
}

kj::Promise<OfferReply> PeerOfferTransport::offer(std::uint32_t peer, const AdmissionRequest& request, SlotLoad load)
{
    const auto* member = m_membership->member(peer);
    KJ_REQUIRE(member != nullptr, "the peer is not a member");
    auto offered = m_pool.connect(*member).then([this, request, load](schema::AgentNode::Client node) {
        const AdmissionTime now((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
        return offerSlot(node.slotsRequest().send().getPeer(), m_self, request, load, now, m_tasks);
    });
    return m_loop.timer().timeoutAfter(offerTimeout, kj::mv(offered));
}

} // namespace yuccahook::request
