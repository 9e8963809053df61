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

/// A request that waits for a slot.
struct Waiting {
    AdmissionRequest request;
    std::string requestClass;
    AdmissionTime arrived {};
    AdmissionTime expected {}; ///< Its estimated service time.
    bool isLong = false;
    bool peerAsked = false; ///< Each attempt is offered to at most one peer.
    std::uint8_t attempts = 0;
};

/// The slots as a discipline sees them.
struct SlotUse {
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0; ///< With the stragglers that have turned out long.

    bool isFull() const { return running >= limit; }
};

using WaitingList = std::list<Waiting>; // in order of arrival

/// Chooses which waiting request gets a free slot.
class SlotDiscipline {
public:
    SlotDiscipline() = default;
    SlotDiscipline(const SlotDiscipline&) = delete;
    SlotDiscipline& operator=(const SlotDiscipline&) = delete;
    virtual ~SlotDiscipline() = default;

    /// Whether a request may start now if no other waits.
    virtual bool mayStart(const Waiting&, const SlotUse& use) const { return !use.isFull(); }

    /// Whether `left` is to start before `right`, which arrived no later.
    virtual bool precedes(const Waiting&, const Waiting&) const { return false; }

    /// Slot time that a request of the class has used.
    virtual void attained(const std::string&, AdmissionTime) { }
};

/// Requests that wait for a slot, in a discipline's order within their priority. Nothing starves: a priority that has
/// had less than its minimum share of slot time goes first, and so does, within a priority, a request that has waited
/// several times its own service time.
class SlotQueue {
public:
    explicit SlotQueue(const AdmissionSettings& settings);

    void configure(const AdmissionSettings& settings);

    void push(Waiting waiting);
    bool erase(std::uint64_t id);

    /// Whether a new request could start now without passing one that waits.
    bool mayStartNow(const Waiting& waiting, const SlotUse& use) const;

    /// Takes the next request that may start.
    std::optional<Waiting> pop(const SlotUse& use, AdmissionTime now);

    /// The youngest of the lowest priority below `priority` that has more than `kept` of work waiting, taken out to
    /// make room.
    std::optional<Waiting> popBelow(std::uint8_t priority, AdmissionTime kept);

    /// How long a newcomer is expected to wait with this many slots.
    AdmissionTime expectedWait(const Waiting& newcomer, std::uint32_t limit) const;

    /// Slot time that all that wait are expected to take.
    AdmissionTime work() const;

    void attained(const std::string& requestClass, AdmissionTime time) { m_discipline->attained(requestClass, time); }
    const WaitingList& waiting() const { return m_waiting; }
    std::size_t size() const { return m_waiting.size(); }

private:
    bool precedes(const Waiting& left, const Waiting& right, AdmissionTime now) const;
    bool isUnderserved(std::uint8_t priority) const;
    void charge(const Waiting& chosen);

    double m_minimumShare = 0;
    bool m_longYields = false;
    std::unique_ptr<SlotDiscipline> m_discipline;
    WaitingList m_waiting;
    std::unordered_map<std::uint8_t, double> m_usedByPriority; // slot time, fading
    double m_used = 0;
};

} // namespace yuccahook::request
