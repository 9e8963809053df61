#pragma once

#include "request/Admission.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace yuccahook::request {

/// An agent's load as its peers hear of it.
struct SlotLoad {
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    /// Long work weighs more: what was heard of it still holds when short work has come and gone.
    double perSlot() const
    {
        return slots == 0 ? 0 : (static_cast<double>(running + waiting) + longWeight * runningLong) / slots;
    }

    static constexpr double longWeight = 3;
};

/// Chooses the one peer to offer a request to: the better of two at random by the load last heard.
class PeerOffer {
public:
    explicit PeerOffer(std::uint64_t seed);

    /// The agents of the same service that take new work, without this one.
    void setPeers(const std::vector<std::uint32_t>& peers);

    void heard(std::uint32_t peer, SlotLoad load, AdmissionTime now);

    /// Nothing when the better candidate is known to have a queue. What was heard long ago counts as unknown.
    std::optional<std::uint32_t> choose(AdmissionTime now);

private:
    struct Heard {
        SlotLoad load;
        AdmissionTime at {};
    };

    SlotLoad loadOf(std::uint32_t peer, AdmissionTime now) const;

    std::mt19937_64 m_random;
    std::vector<std::uint32_t> m_peers;
    std::map<std::uint32_t, Heard> m_heard;
};

} // namespace yuccahook::request
