#include "request/PeerOfferServer.h"

#include "net/StreamRelay.h"
#include "request/PeerOfferCodec.h"

#include <algorithm>
#include <memory>

namespace yuccahook::request {

namespace {

/// A slot used by another agent, with the relay of its connection. Destroying it releases the slot.
class OfferedSlotServer final : public schema::OfferedSlot::Server {
public:
    OfferedSlotServer(kj::Own<Slot> slot, kj::Own<net::StreamRelay> relay)
        : m_slot(kj::mv(slot))
        , m_relay(kj::mv(relay))
    {
    }

    ~OfferedSlotServer() noexcept(false) { m_relay->reset(flow::RefusalReason::None); }

    kj::Promise<void> finish(FinishContext context) override
    {
        const auto last = static_cast<std::uint8_t>(DispatchResult::Cancelled);
        m_slot->finish(static_cast<DispatchResult>(std::min(context.getParams().getResult(), last)));
        return kj::READY_NOW;
    }

private:
    kj::Own<Slot> m_slot;
    kj::Own<net::StreamRelay> m_relay;
};

} // namespace

PeerOfferServer::PeerOfferServer(kj::Timer& timer, AdmissionGate& gate, Connector connector)
    : m_timer(timer)
    , m_gate(gate)
    , m_connector(kj::mv(connector))
{
}

kj::Promise<void> PeerOfferServer::offer(OfferContext context)
{
    const auto offer = context.getParams().getOffer();
    const AdmissionTime now((m_timer.now() - kj::origin<kj::TimePoint>()) / kj::NANOSECONDS);
    auto admission = m_gate.handleOffer(readOffer(offer, now), offer.getFrom(), readLoad(offer.getLoad()));
    writeLoad(context.getResults().initLoad(), m_gate.load());
    if (admission.slot.get() == nullptr)
        return kj::READY_NOW;
    // Shared by the success and the failure handler.
    auto slot = std::make_shared<kj::Own<Slot>>(kj::mv(admission.slot));
    return m_connector().then(
        [context, slot](kj::Own<kj::AsyncIoStream> stream) mutable {
            auto relay = kj::refcounted<net::StreamRelay>(kj::mv(stream));
            relay->attach(context.getParams().getOffer().getEnd(), 0);
            auto results = context.getResults();
            results.setEnd(relay->streamEnd());
            results.setSlot(kj::heap<OfferedSlotServer>(kj::mv(*slot), kj::mv(relay)));
        },
        [slot](kj::Exception&&) { (*slot)->finish(DispatchResult::Shed); });
}

} // namespace yuccahook::request
