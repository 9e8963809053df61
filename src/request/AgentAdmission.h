#pragma once

#include "request/Admission.h"
#include "request/AdmissionSettings.h"
#include "request/ConcurrencyLimit.h"
#include "request/PeerOffer.h"
#include "request/RetryBudget.h"
#include "request/ServiceTimeEstimate.h"
#include "request/SlotQueue.h"

#include <optional>
#include <unordered_map>

namespace yuccahook::request {

/// Decides for one agent which requests run at its backend server, which wait, which go to a peer agent and which
/// are refused. No sockets and no clock of its own: events in, actions out. Never has more attempts dispatched than
/// the backend server has slots.
class AgentAdmission {
public:
    AgentAdmission(const AdmissionSettings& settings, std::uint64_t seed);

    /// Other settings for all that follows; what waits keeps its place.
    AdmissionActions configure(const AdmissionSettings& settings, AdmissionTime now);

    /// The slots that the backend server announces; begins slow start the first time.
    AdmissionActions setSlots(std::uint32_t slots, AdmissionTime now);

    void setPeers(const std::vector<std::uint32_t>& peers) { m_peers.setPeers(peers); }
    void updatePeerLoad(std::uint32_t peer, SlotLoad load, AdmissionTime now) { m_peers.heard(peer, load, now); }

    AdmissionActions submit(const AdmissionRequest& request, AdmissionTime now);

    /// An attempt at the backend server has ended.
    AdmissionActions finish(std::uint64_t id, AttemptOutcome outcome, AdmissionTime now);

    /// The peer that was offered a request has taken it, or will not run it.
    AdmissionActions handleOfferReply(std::uint64_t id, bool taken, AdmissionTime now);

    /// The caller is gone, or a hedge was answered first. A dispatched attempt keeps its slot until `finish`.
    AdmissionActions cancel(std::uint64_t id, AdmissionTime now);

    /// Offers all that comes to peers from now on and refuses what none takes after a few seconds, in which requests
    /// that were under way when the drain began still run.
    AdmissionActions drain(AdmissionTime now);

    /// Does what is due at `now`.
    AdmissionActions advance(AdmissionTime now);

    /// When `advance` is due next; max when nothing is.
    AdmissionTime nextDue(AdmissionTime now) const;

    SlotLoad load() const;

private:
    struct Attempt {
        Waiting waiting;
        AdmissionTime started {};
        bool cancelled = false;
        bool hedged = false;
    };

    struct Offered {
        Waiting waiting;
        std::optional<AttemptOutcome> afterFailure; ///< A retry: if the peer declines, the request fails.
    };

    SlotUse use(AdmissionTime now) const;
    bool isLong(AdmissionTime duration) const;
    bool isClosed(AdmissionTime now) const { return m_refuseFrom && now >= *m_refuseFrom; }
    AdmissionTime expectedWait(const Waiting& newcomer, AdmissionTime now) const;
    RequestReason reasonToRefuse(const Waiting& waiting, AdmissionTime now) const;
    void makeRoom(const Waiting& waiting, AdmissionTime now, AdmissionActions& actions);
    void enqueue(Waiting waiting, AdmissionTime now, AdmissionActions& actions);
    bool offer(Waiting& waiting, AdmissionTime now, AdmissionActions& actions);
    void dispatch(Waiting waiting, AdmissionTime now, AdmissionActions& actions);
    void dispatchWaiting(AdmissionTime now, AdmissionActions& actions);
    void retry(Waiting waiting, AttemptOutcome outcome, AdmissionTime now, AdmissionActions& actions);
    void refuse(const Waiting& waiting, RequestReason reason, AdmissionTime now, AdmissionActions& actions) const;
    void hedgeOrCancel(Attempt& attempt, AdmissionTime now, AdmissionActions& actions);
    AdmissionTime hedgeDue(const Attempt& attempt) const;

    AdmissionSettings m_settings;
    ServiceTimeEstimate m_estimate;
    ConcurrencyLimit m_limit;
    RetryBudget m_retries;
    PeerOffer m_peers;
    SlotQueue m_queue;
    std::optional<AdmissionTime> m_refuseFrom; // set by a drain
    std::unordered_map<std::uint64_t, Attempt> m_running;
    std::unordered_map<std::uint64_t, Offered> m_offered;
};

} // namespace yuccahook::request
