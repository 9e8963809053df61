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

/// What a peer agent answers to an offer.
struct OfferAnswer {
    kj::Own<Slot> slot; ///< Null when it declines. Its connection leads to the peer's backend server.
    SlotLoad load;
};

/// Carries offers to other agents of the service.
class OfferTransport {
public:
    OfferTransport() = default;
    OfferTransport(const OfferTransport&) = delete;
    OfferTransport& operator=(const OfferTransport&) = delete;
    virtual ~OfferTransport() noexcept(false) = default;

    /// Fails when the peer cannot be reached; the peer's slot, if it gave one, frees itself.
    virtual kj::Promise<OfferAnswer> offer(std::uint32_t peer, const AdmissionRequest& request, SlotLoad load) = 0;
};

/// Runs AgentAdmission on an event loop: a gate for the agent's own HTTP front and for offers of its peers.
class AdmissionGate final : public Gate, private kj::TaskSet::ErrorHandler {
public:
    /// `transport` and `counters` must outlive the gate; slots need not end before it.
    AdmissionGate(kj::Timer& timer, OfferTransport& transport, observe::Counters& counters, std::uint64_t seed);
    ~AdmissionGate() noexcept(false) override;

    void setSettings(const AdmissionSettings& settings);
    void setSlots(std::uint32_t slots);
    void setPeers(const std::vector<std::uint32_t>& peers) { m_admission.setPeers(peers); }

    /// Refuses what waits and what comes.
    void drain();

    kj::Promise<Admission> admit(const RequestInfo& request) override;

    /// A slot for a peer's request, at once or not at all.
    Admission takeOffer(const AdmissionRequest& request, std::uint32_t peer, SlotLoad peerLoad);

    SlotLoad load() const { return m_admission.load(); }

private:
    class LocalSlot;
    friend class LocalSlot;

    struct Pending {
        AdmissionRequest request;
        kj::Own<kj::PromiseFulfiller<Admission>> fulfiller;
    };

    AdmissionTime now() const;
    kj::Promise<Admission> wait(const AdmissionRequest& request);
    void apply(const AdmissionActions& actions);
    void resolve(std::uint64_t id, Admission admission);
    void sendOffer(const AdmissionAction& action);
    void takeAnswer(std::uint64_t id, std::uint32_t peer, OfferAnswer answer);
    void abandon(std::uint64_t id);
    void finish(std::uint64_t id, DispatchResult result);
    kj::Promise<Admission> retry(const AdmissionRequest& request, DispatchResult result);
    void schedule();
    void count();
    void taskFailed(kj::Exception&& exception) override;

    kj::Timer& m_timer;
    OfferTransport& m_transport;
    observe::Counters& m_counters;
    AdmissionSettings m_settings;
    AgentAdmission m_admission;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Pending> m_pending; // by request id
    AdmissionTime m_due = AdmissionTime::max();
    std::shared_ptr<AdmissionGate*> m_self; // null inside once the gate has ended
    kj::TaskSet m_tasks;
};

} // namespace yuccahook::request
