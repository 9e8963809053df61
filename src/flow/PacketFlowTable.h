#pragma once

#include "flow/PacketFlow.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccahook::flow {

/// The state of a flow at the agent of its backend server.
enum class PacketFlowState : std::uint8_t {
    Offered, ///< The backend server was sent the opening packet.
    Answered, ///< The backend server has answered; the caller may open the flow here or at another agent.
    Open, ///< The caller has opened the flow here.
    Probed ///< The agent does not know the flow; the backend server was sent a packet to find out.
};

/// A flow at an agent.
struct PacketFlowEntry {
    PacketFlowState state = PacketFlowState::Offered;
    std::uint64_t incarnation = 0; ///< Of the backend server that holds the flow.
    std::uint32_t answerSequence = 0; ///< Of the backend server's answer to the opening packet.
    std::uint32_t acknowledged = 0; ///< The caller's last acknowledgement number.
    std::optional<std::uint32_t> requestSequence {}; ///< Of the caller's last packet with new data.
    bool busy = false; ///< A request is at the backend server, unanswered, or a slot is reserved for it.
    bool callerFinished = false;
    bool backendFinished = false;
    std::uint64_t offeredMillis = 0; ///< When the backend server was sent the flow's first packet.
    std::uint64_t activeMillis = 0; ///< When the last packet arrived.
    std::uint64_t requestMillis = 0; ///< When the request in progress arrived; 0 if there is none.
    std::uint32_t busyBefore = 0; ///< Number of busy flows when its request arrived.
    std::uint64_t registeredMillis = 0; ///< When the flow's locator was last told of it; 0 if never.
    PacketEndpoint locator {}; ///< The agent that a probe came from; not set if it came from a balancer.
    std::vector<std::uint8_t> opening; ///< The opening packet in its envelope, until it is answered.
};

/// The flows at an agent, and how many of them are busy.
class PacketFlowTable {
public:
    static constexpr std::size_t maximumFlows = 20'000; // about 4 MB

    /// The flow's entry, or null.
    PacketFlowEntry* find(const PacketFlow& flow)
    {
        const auto found = m_entries.find(flow);
        return found != m_entries.end() ? &found->second : nullptr;
    }

    bool isFull() const { return m_entries.size() >= maximumFlows; }

    /// Adds a flow with a new entry. Replaces an earlier entry of the flow.
    PacketFlowEntry& add(const PacketFlow& flow)
    {
        erase(flow);
        return m_entries[flow];
    }

    void erase(const PacketFlow& flow)
    {
        if (auto* entry = find(flow)) {
            setBusy(*entry, false);
            m_entries.erase(flow);
        }
    }

    /// Changes `PacketFlowEntry::busy`, which must not be changed in any other way.
    void setBusy(PacketFlowEntry& entry, bool busy)
    {
        if (entry.busy == busy)
            return;
        entry.busy = busy;
        busy ? ++m_busy : --m_busy;
    }

    template <typename Predicate> void eraseIf(const Predicate& predicate)
    {
        for (auto position = m_entries.begin(); position != m_entries.end();) {
            if (!predicate(position->second)) {
                ++position;
                continue;
            }
            setBusy(position->second, false);
            position = m_entries.erase(position);
        }
    }

    /// Calls `visit` with each flow and its entry.
    template <typename Visit> void forEach(const Visit& visit)
    {
        for (auto& [flow, entry] : m_entries)
            visit(flow, entry);
    }

    std::uint32_t busy() const { return m_busy; }
    std::size_t size() const { return m_entries.size(); }

private:
    std::unordered_map<PacketFlow, PacketFlowEntry> m_entries;
    std::uint32_t m_busy = 0;
};

} // namespace yuccahook::flow
