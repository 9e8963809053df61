#pragma once

#include "request/Admission.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace yuccahook::request {

/// An agent's load as reported to its peers. Counts of requests.
struct SlotLoad {
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0; ///< Of those running, the ones that were expected to be long.
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    /// Requests per slot; 0 without slots. Long requests weigh more, because they are likely still running when the
    /// reported short requests have ended.
    double perSlot() const
    {
        return slots == 0 ? 0 : (static_cast<double>(running + waiting) + longWeight * runningLong) / slots;
    }

    static constexpr double longWeight = 3;
};

/// Chooses the peer to offer a request to: the less loaded of two random peers, by their last reported load.
class PeerSelector {
public:
    explicit PeerSelector(std::uint64_t seed);

    /// Sets the agents of the same service that accept new work, without this one.
    void setPeers(const std::vector<std::uint32_t>& peers);

    /// Records the load that a peer reported; other agents are ignored.
    void updateLoad(std::uint32_t peer, SlotLoad load, AdmissionTime now);

    /// The chosen peer; null without peers or when the less loaded candidate is known to have more requests waiting
    /// than slots. Outdated reports count as unknown.
    std::optional<std::uint32_t> choose(AdmissionTime now);

private:
    struct ReportedLoad {
        SlotLoad load;
        AdmissionTime at {};
    };

    SlotLoad loadOf(std::uint32_t peer, AdmissionTime now) const;

    std::mt19937_64 m_random;
    std::vector<std::uint32_t> m_peers;
    std::map<std::uint32_t, ReportedLoad> m_reportedLoads;
};

} // namespace yuccahook::request
