#pragma once

#include "flow/PacketFlow.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccahook::flow {

/// How far a flow is at the agent of its backend server.
enum class PacketFlowState : std::uint8_t {
    Offered, ///< The backend server has its opening packet.
    Answered, ///< It has answered; the caller may open the flow here or elsewhere.
    Open,
    Probed ///< The agent does not know it; the backend server's answer will tell.
};

/// A flow at an agent.
struct PacketFlowEntry {
    PacketFlowState state = PacketFlowState::Offered;
    std::uint64_t incarnation = 0; ///< Of the backend server that has it.
    std::uint32_t answerSequence = 0; ///< Of the packet with which the backend server took it.
    std::uint32_t acknowledged = 0; ///< What the caller acknowledged last.
    std::optional<std::uint32_t> requestSequence {}; ///< Of the caller's last packet with data, copies aside.
    bool busy = false; ///< A request of it is at the backend server, unanswered.
    bool callerFinished = false;
    bool backendFinished = false;
    std::uint64_t offeredMillis = 0;
    std::uint64_t activeMillis = 0;
    std::uint64_t requestMillis = 0; ///< When the request in progress came; 0 for none.
    std::uint32_t busyBefore = 0; ///< Flows that were busy when its request came.
    std::vector<std::uint8_t> opening; ///< Its opening packet, in its envelope, until it is answered.
};

/// The flows at an agent, and how many of them are busy.
class PacketFlowTable {
public:
    static constexpr std::size_t maximumFlows = 20'000; // some 4 MB

    PacketFlowEntry* find(const PacketFlow& flow)
    {
        const auto found = m_entries.find(flow);
        return found != m_entries.end() ? &found->second : nullptr;
    }

    bool isFull() const { return m_entries.size() >= maximumFlows; }

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

    void setBusy(PacketFlowEntry& entry, bool busy)
    {
        if (entry.busy == busy)
            return;
        entry.busy = busy;
        busy ? ++m_busy : --m_busy;
    }

    template <typename Ends> void eraseIf(const Ends& ends)
    {
        for (auto place = m_entries.begin(); place != m_entries.end();) {
            if (!ends(place->second)) {
                ++place;
                continue;
            }
            setBusy(place->second, false);
            place = m_entries.erase(place);
        }
    }

    /// Calls `work` with each entry.
    template <typename Work> void forEach(const Work& work)
    {
        for (auto& [flow, entry] : m_entries)
            work(entry);
    }

    std::uint32_t busy() const { return m_busy; }
    std::size_t size() const { return m_entries.size(); }

private:
    std::unordered_map<PacketFlow, PacketFlowEntry> m_entries;
    std::uint32_t m_busy = 0;
};

} // namespace yuccahook::flow
