#pragma once

#include "flow/OpeningOrder.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace yuccahook::flow {

/// The opening packets that wait at an agent. Those that can still be answered within their latency goal are served
/// before those that are late already, so that a late packet makes no other one late. Late packets are served once
/// there is time.
class OpeningQueue {
public:
    static constexpr std::size_t maximumPackets = 512; ///< Several seconds of work at a backend server.

    OpeningQueue();

    /// Returns false if the queue is full.
    bool add(WaitingOpening opening);

    bool contains(const PacketFlow& flow) const;

    /// `order` must outlive the queue. Before the first call it is a GoalOrder.
    void setOrder(const OpeningOrder& order) { m_order = &order; }

    using MayStart = std::function<bool(const RequestClass&)>;

    /// Removes and returns the packet to serve next, of the classes that may start. Empty if none waits.
    std::optional<WaitingOpening> popNext(std::uint64_t nowMillis, const MayStart& mayStart = {});

    /// Removes and returns the packets whose wait has ended.
    std::vector<WaitingOpening> popExpired(std::uint64_t nowMillis);

    /// Removes and returns all packets.
    std::vector<WaitingOpening> popAll();

    /// Number of waiting packets that would be served before a new one.
    std::size_t countAhead(const WaitingOpening& opening, std::uint64_t nowMillis) const;

    /// The slot time that a request of a class needs, in milliseconds.
    using WorkOf = std::function<double(const RequestClass&)>;

    /// Work of the waiting packets that would be served before a new one.
    double workAheadMillis(const WaitingOpening& opening, std::uint64_t nowMillis, const WorkOf& workOf) const;

    /// Removes and returns the packets that can still be refused and whose predicted start is after
    /// `WaitingOpening::displacedMillis`. The first packet gets one of `slots` after `headMillis`.
    std::vector<WaitingOpening> popDisplaced(
        std::uint64_t nowMillis, double slots, double headMillis, const WorkOf& workOf);

    std::size_t size() const { return m_waiting.size(); }

private:
    const OpeningOrder* m_order;
    std::vector<WaitingOpening> m_waiting;
};

} // namespace yuccahook::flow
