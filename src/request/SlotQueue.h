#pragma once

#include "request/Admission.h"
#include "request/AdmissionSettings.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace yuccahook::request {

/// A request that waits for a slot, with its estimate.
struct QueuedRequest {
    AdmissionRequest request;
    std::string requestClass;
    AdmissionTime arrived {};
    AdmissionTime expected {}; ///< Estimated service time.
    bool isLong = false;
    bool wasOffered = false; ///< Whether the current attempt was offered to a peer; it is offered only once.
    std::uint8_t attempts = 0;
};

/// The number of slots and of attempts in progress, as input of a discipline.
struct SlotUsage {
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0; ///< Includes attempts that have run for long, whatever was expected.

    bool isFull() const { return running >= limit; }
};

using QueuedRequestList = std::list<QueuedRequest>; // in order of arrival

/// Chooses which waiting request gets a free slot. This base class is first in, first out.
class SlotDiscipline {
public:
    SlotDiscipline() = default;
    SlotDiscipline(const SlotDiscipline&) = delete;
    SlotDiscipline& operator=(const SlotDiscipline&) = delete;
    virtual ~SlotDiscipline() = default;

    /// Whether a request may start now if no other request waits.
    virtual bool mayStart(const QueuedRequest&, const SlotUsage& usage) const { return !usage.isFull(); }

    /// Whether `left` starts before `right`, which arrived no later.
    virtual bool precedes(const QueuedRequest&, const QueuedRequest&) const { return false; }

    /// Records the slot time that a request of the class has used.
    virtual void recordSlotTime(const std::string&, AdmissionTime) { }
};

/// Requests that wait for a slot, ordered by priority and within a priority by a discipline. To prevent starvation, a
/// priority that has had less than its minimum share of slot time goes first, and so does, within a priority, a request
/// that has waited for several times its expected service time.
class SlotQueue {
public:
    explicit SlotQueue(const AdmissionSettings& settings);

    void configure(const AdmissionSettings& settings);

    void push(QueuedRequest waiting);

    /// Removes the request; returns false when it is not queued.
    bool erase(std::uint64_t id);

    /// Whether a new request may start now without overtaking a waiting request that may start too.
    bool mayStartNow(const QueuedRequest& waiting, const SlotUsage& usage) const;

    /// Removes and returns the next request that may start, if there is one.
    std::optional<QueuedRequest> pop(const SlotUsage& usage, AdmissionTime now);

    /// Removes and returns the last request of the lowest priority below `priority` of which at least `protectedWork`
    /// expected work stays queued; nothing when there is none.
    std::optional<QueuedRequest> popLowerPriority(std::uint8_t priority, AdmissionTime protectedWork);

    /// How long a new request is expected to wait for one of `limit` slots.
    AdmissionTime expectedWait(const QueuedRequest& newcomer, std::uint32_t limit) const;

    /// The sum of the expected service times of all waiting requests.
    AdmissionTime totalWork() const;

    void recordSlotTime(const std::string& requestClass, AdmissionTime time)
    {
        m_discipline->recordSlotTime(requestClass, time);
    }

    const QueuedRequestList& waiting() const { return m_waiting; }
    std::size_t size() const { return m_waiting.size(); }

private:
    bool precedes(const QueuedRequest& left, const QueuedRequest& right, AdmissionTime now) const;
    bool isUnderserved(std::uint8_t priority) const;
    void charge(const QueuedRequest& chosen);

    double m_minimumShare = 0;
    bool m_mayReorder = false;
    std::unique_ptr<SlotDiscipline> m_discipline;
    QueuedRequestList m_waiting;
    // Expected slot time of dispatched requests in nanoseconds, decayed at each dispatch.
    std::unordered_map<std::uint8_t, double> m_usedByPriority;
    double m_used = 0;
};

} // namespace yuccahook::request
