#pragma once

#include "request/Admission.h"
#include "request/AdmissionSettings.h"
#include "request/ConcurrencyLimit.h"
#include "request/PeerSelector.h"
#include "request/RetryBudget.h"
#include "request/ServiceTimeEstimate.h"
#include "request/SlotQueue.h"

#include <optional>
#include <unordered_map>

namespace yuccahook::request {

/// Decides for one agent which requests are dispatched to its backend server, queued, offered to a peer agent or
/// refused. It has no sockets and no clock: each call passes an event and the current time and returns the actions to
/// perform. It never has more attempts in progress than the backend server has slots.
class AgentAdmission {
public:
    AgentAdmission(const AdmissionSettings& settings, std::uint64_t seed);

    /// Applies other settings to later decisions; queued requests stay queued.
    AdmissionActions configure(const AdmissionSettings& settings, AdmissionTime now);

    /// Sets the slots that the backend server announces; begins slow start when the number was 0 before.
    AdmissionActions setSlots(std::uint32_t slots, AdmissionTime now);

    /// Sets the agents of the same service that accept new work, without this one.
    void setPeers(const std::vector<std::uint32_t>& peers) { m_peerSelector.setPeers(peers); }

    /// Records the load that a peer reported.
    void updatePeerLoad(std::uint32_t peer, SlotLoad load, AdmissionTime now)
    {
        m_peerSelector.updateLoad(peer, load, now);
    }

    /// Admits, queues, offers or refuses a new request. Its id must not be in use.
    AdmissionActions submit(const AdmissionRequest& request, AdmissionTime now);

    /// Handles the end of an attempt at the backend server; unknown ids are ignored.
    AdmissionActions finish(std::uint64_t id, AttemptOutcome outcome, AdmissionTime now);

    /// Handles a peer's reply to an offer: `taken` when the peer runs the request.
    AdmissionActions handleOfferReply(std::uint64_t id, bool taken, AdmissionTime now);

    /// Cancels a request whose caller disconnected or whose hedge was answered first. A dispatched attempt keeps its
    /// slot until `finish`.
    AdmissionActions cancel(std::uint64_t id, AdmissionTime now);

    /// Offers all new requests to peers from now on. Requests that no peer accepts still run for two seconds, so that
    /// requests in flight when the drain began are served, and are refused after that.
    AdmissionActions drain(AdmissionTime now);

    /// Performs the actions that are due at `now`: expired deadlines, hedges, slots that slow start opens.
    AdmissionActions advance(AdmissionTime now);

    /// When `advance` is due next; AdmissionTime::max() when nothing is due.
    AdmissionTime nextDue(AdmissionTime now) const;

    SlotLoad load() const;

private:
    struct Attempt {
        QueuedRequest queued;
        AdmissionTime started {};
        bool cancelled = false;
        bool hedged = false;
    };

    struct OfferedRequest {
        QueuedRequest queued;
        std::optional<AttemptOutcome> failedOutcome; ///< Set for a retry, which ends when the peer declines it.
    };

    SlotUsage usage(AdmissionTime now) const;
    bool isLong(AdmissionTime duration) const;
    bool refusesAll(AdmissionTime now) const { return m_drainGraceEnd && now >= *m_drainGraceEnd; }
    AdmissionTime expectedWait(const QueuedRequest& newcomer, AdmissionTime now) const;
    RequestReason refusalReason(const QueuedRequest& queued, AdmissionTime now) const;
    void displaceLowerPriorities(const QueuedRequest& queued, AdmissionTime now, AdmissionActions& actions);
    void enqueue(QueuedRequest queued, AdmissionTime now, AdmissionActions& actions);
    bool offer(QueuedRequest& queued, AdmissionTime now, AdmissionActions& actions);
    void dispatch(QueuedRequest queued, AdmissionTime now, AdmissionActions& actions);
    void dispatchWaiting(AdmissionTime now, AdmissionActions& actions);
    void retry(QueuedRequest queued, AttemptOutcome outcome, AdmissionTime now, AdmissionActions& actions);
    void refuse(const QueuedRequest& queued, RequestReason reason, AdmissionTime now, AdmissionActions& actions) const;
    void hedgeOrCancel(Attempt& attempt, AdmissionTime now, AdmissionActions& actions);
    AdmissionTime hedgeDue(const Attempt& attempt) const;

    AdmissionSettings m_settings;
    ServiceTimeEstimate m_estimate;
    ConcurrencyLimit m_limit;
    RetryBudget m_retryBudget;
    PeerSelector m_peerSelector;
    SlotQueue m_queue;
    std::optional<AdmissionTime> m_drainGraceEnd; // the end of a drain's grace period
    std::unordered_map<std::uint64_t, Attempt> m_running;
    std::unordered_map<std::uint64_t, OfferedRequest> m_offered;
};

} // namespace yuccahook::request
