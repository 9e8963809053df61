#pragma once

#include "observe/Counters.h"
#include "request/AgentAdmission.h"
#include "request/Gate.h"

#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>
#include <memory>
#include <vector>

namespace yuccahook::request {

/// A peer agent's reply to an offer.
struct OfferReply {
    kj::Own<Slot> slot; ///< Null when the peer declines. Its connection leads to the peer's backend server.
    SlotLoad load; ///< The peer's load at its reply.
};

/// Sends offers to other agents of the service.
class OfferTransport {
public:
    OfferTransport() = default;
    OfferTransport(const OfferTransport&) = delete;
    OfferTransport& operator=(const OfferTransport&) = delete;
    virtual ~OfferTransport() noexcept(false) = default;

    /// The promise is rejected when the peer cannot be reached; a slot that the peer granted is then released there.
    virtual kj::Promise<OfferReply> offer(std::uint32_t peer, const AdmissionRequest& request, SlotLoad load) = 0;
};

/// Runs AgentAdmission on an event loop, for the agent's own HTTP front end and for offers from peer agents.
class AdmissionGate final : public Gate, private kj::TaskSet::ErrorHandler {
public:
    /// `transport` and `counters` must outlive the gate; slots may outlive the gate.
    AdmissionGate(kj::Timer& timer, OfferTransport& transport, observe::Counters& counters, std::uint64_t seed);
    ~AdmissionGate() noexcept(false) override;

    void setSettings(const AdmissionSettings& settings);
    void setSlots(std::uint32_t slots);
    void setPeers(const std::vector<std::uint32_t>& peers) { m_admission.setPeers(peers); }

    /// Offers new requests to peers; after a grace period refuses queued and new requests.
    void drain();

    kj::Promise<AdmissionResult> admit(const RequestInfo& request) override;

    /// Returns a slot for a peer's request if one is free now, else the reason without a slot.
    AdmissionResult handleOffer(const AdmissionRequest& request, std::uint32_t peer, SlotLoad peerLoad);

    SlotLoad load() const { return m_admission.load(); }

private:
    class LocalSlot;
    friend class LocalSlot;

    struct Pending {
        AdmissionRequest request;
        kj::Own<kj::PromiseFulfiller<AdmissionResult>> fulfiller;
    };

    AdmissionTime now() const;
    kj::Promise<AdmissionResult> addPending(const AdmissionRequest& request);
    void apply(const AdmissionActions& actions);
    void resolve(std::uint64_t id, AdmissionResult admission);
    void sendOffer(const AdmissionAction& action);
    void handleOfferReply(std::uint64_t id, std::uint32_t peer, OfferReply reply);
    void abandon(std::uint64_t id);
    void finish(std::uint64_t id, DispatchResult result);
    kj::Promise<AdmissionResult> retry(const AdmissionRequest& request, DispatchResult result);
    void schedule();
    void updateCounters();
    void taskFailed(kj::Exception&& exception) override;

    kj::Timer& m_timer;
    OfferTransport& m_transport;
    observe::Counters& m_counters;
    AdmissionSettings m_settings;
    AgentAdmission m_admission;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Pending> m_pending; // by request id
    AdmissionTime m_due = AdmissionTime::max();
    std::shared_ptr<AdmissionGate*> m_self; // the pointee is null once the gate is destroyed
    kj::TaskSet m_tasks;
};

} // namespace yuccahook::request
