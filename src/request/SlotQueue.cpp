#include "request/SlotQueue.h"

#include <algorithm>

namespace yuccahook::request {

namespace {

constexpr int starvationFactor = 4; // times the request's expected service time
constexpr double decay = 0.999; // per request, so that past use loses weight

/// Reserves some slots for short requests.
class ReservedSlots final : public SlotDiscipline {
public:
    explicit ReservedSlots(std::uint32_t reserved)
        : m_reserved(reserved)
    {
    }

    bool mayStart(const QueuedRequest& waiting, const SlotUsage& usage) const override
    {
        if (usage.isFull())
            return false;
        const std::uint32_t reserved = std::min(m_reserved, usage.limit - 1);
        return !waiting.isLong || usage.runningLong < usage.limit - reserved;
    }

    bool precedes(const QueuedRequest& left, const QueuedRequest& right) const override
    {
        return !left.isLong && right.isLong;
    }

private:
    const std::uint32_t m_reserved;
};

/// Starts the request with the shortest expected service time.
class ShortestEstimate final : public SlotDiscipline {
public:
    bool precedes(const QueuedRequest& left, const QueuedRequest& right) const override
    {
        return left.expected < right.expected;
    }
};

/// Starts a request of the class that has used the least slot time recently.
class LeastAttained final : public SlotDiscipline {
public:
    bool precedes(const QueuedRequest& left, const QueuedRequest& right) const override
    {
        return attainedBy(left.requestClass) < attainedBy(right.requestClass);
    }

    void recordSlotTime(const std::string& requestClass, AdmissionTime time) override
    {
        for (auto& [name, used] : m_attained)
            used *= decay;
        m_attained[requestClass] += static_cast<double>(time.count());
        std::erase_if(m_attained, [](const auto& entry) { return entry.second < 1; });
    }

private:
    double attainedBy(const std::string& requestClass) const
    {
        const auto found = m_attained.find(requestClass);
        return found != m_attained.end() ? found->second : 0;
    }

    std::unordered_map<std::string, double> m_attained;
};

std::unique_ptr<SlotDiscipline> makeDiscipline(const AdmissionSettings& settings)
{
    switch (settings.discipline) {
    case Discipline::ReservedSlots:
        return std::make_unique<ReservedSlots>(settings.reservedSlots);
    case Discipline::ShortestEstimate:
        return std::make_unique<ShortestEstimate>();
    case Discipline::LeastAttained:
        return std::make_unique<LeastAttained>();
    case Discipline::FirstInFirstOut:
        break;
    }
    return std::make_unique<SlotDiscipline>();
}

} // namespace

SlotQueue::SlotQueue(const AdmissionSettings& settings) { configure(settings); }

void SlotQueue::configure(const AdmissionSettings& settings)
{
    m_minimumShare = settings.minimumSharePercent / 100.0;
    m_mayReorder = settings.discipline != Discipline::FirstInFirstOut;
    m_discipline = makeDiscipline(settings);
}

void SlotQueue::push(QueuedRequest waiting)
{
    // A request that a peer declined is inserted by its time of arrival, so that it does not lose its position.
    auto place = m_waiting.end();
    while (place != m_waiting.begin() && std::prev(place)->arrived > waiting.arrived)
        --place;
    m_waiting.insert(place, std::move(waiting));
}

bool SlotQueue::erase(std::uint64_t id)
{
    return m_waiting.remove_if([id](const QueuedRequest& waiting) { return waiting.request.id == id; }) > 0;
}

bool SlotQueue::mayStartNow(const QueuedRequest& waiting, const SlotUsage& usage) const
{
    if (!m_discipline->mayStart(waiting, usage))
        return false;
    return std::none_of(m_waiting.begin(), m_waiting.end(),
        [&](const QueuedRequest& other) { return m_discipline->mayStart(other, usage); });
}

std::optional<QueuedRequest> SlotQueue::pop(const SlotUsage& usage, AdmissionTime now)
{
    auto best = m_waiting.end();
    for (auto place = m_waiting.begin(); place != m_waiting.end(); ++place) {
        if (!m_discipline->mayStart(*place, usage))
            continue;
        if (best == m_waiting.end() || precedes(*place, *best, now))
            best = place;
    }
    if (best == m_waiting.end())
        return std::nullopt;
    QueuedRequest chosen = std::move(*best);
    charge(chosen);
    m_waiting.erase(best);
    return chosen;
}

bool SlotQueue::precedes(const QueuedRequest& left, const QueuedRequest& right, AdmissionTime now) const
{
    const bool leftUnderserved = isUnderserved(left.request.priority);
    if (leftUnderserved != isUnderserved(right.request.priority))
        return leftUnderserved;
    if (left.request.priority != right.request.priority)
        return left.request.priority < right.request.priority;
    if (!m_mayReorder)
        return false;
    const bool leftStarves = now - left.arrived > starvationFactor * left.expected;
    if (leftStarves != (now - right.arrived > starvationFactor * right.expected))
        return leftStarves;
    return !leftStarves && m_discipline->precedes(left, right);
}

bool SlotQueue::isUnderserved(std::uint8_t priority) const
{
    const auto used = m_usedByPriority.find(priority);
    return used == m_usedByPriority.end() || used->second < m_minimumShare * m_used;
}

void SlotQueue::charge(const QueuedRequest& chosen)
{
    for (auto& [priority, used] : m_usedByPriority)
        used *= decay;
    const auto work = static_cast<double>(chosen.expected.count());
    m_used = m_used * decay + work;
    m_usedByPriority[chosen.request.priority] += work;
}

std::optional<QueuedRequest> SlotQueue::popLowerPriority(std::uint8_t priority, AdmissionTime protectedWork)
{
    std::unordered_map<std::uint8_t, AdmissionTime> work;
    for (const auto& waiting : m_waiting)
        work[waiting.request.priority] += waiting.expected;
    auto lowest = m_waiting.end();
    for (auto place = m_waiting.begin(); place != m_waiting.end(); ++place) {
        const auto floor = lowest == m_waiting.end() ? priority + 1 : lowest->request.priority;
        const bool spare = work[place->request.priority] - place->expected >= protectedWork;
        if (place->request.priority >= floor && spare)
            lowest = place;
    }
    if (lowest == m_waiting.end())
        return std::nullopt;
    QueuedRequest chosen = std::move(*lowest);
    m_waiting.erase(lowest);
    return chosen;
}

AdmissionTime SlotQueue::expectedWait(const QueuedRequest& newcomer, std::uint32_t limit) const
{
    AdmissionTime ahead {};
    AdmissionTime samePriority {};
    for (const auto& waiting : m_waiting) {
        const bool passes = m_mayReorder && waiting.isLong && !newcomer.isLong;
        if (passes || waiting.request.priority > newcomer.request.priority)
            continue;
        ahead += waiting.expected;
        if (waiting.request.priority == newcomer.request.priority)
            samePriority += waiting.expected;
    }
    const auto slots = static_cast<AdmissionTime::rep>(std::max<std::uint32_t>(1, limit));
    const double share = std::max(m_minimumShare, 1e-3);
    const AdmissionTime byShare(static_cast<AdmissionTime::rep>(static_cast<double>(samePriority.count()) / share));
    return std::min(ahead, byShare) / slots;
}

AdmissionTime SlotQueue::totalWork() const
{
    AdmissionTime sum {};
    for (const auto& waiting : m_waiting)
        sum += waiting.expected;
    return sum;
}

} // namespace yuccahook::request
