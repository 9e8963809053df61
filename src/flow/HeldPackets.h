#pragma once

#include "flow/PacketCodec.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>
#include <vector>

namespace yuccahook::flow {

/// Packets that wait for a process to learn what it needs to send them on, soon after its start.
class HeldPackets {
public:
    static constexpr std::uint64_t longestMillis = 1200; ///< A caller gives an attempt up after 1.4 s.
    static constexpr std::size_t maximumPackets = 4096; ///< Some 5 MB at the most.

    /// Takes a packet, unless it is a copy of one that waits; false when too many do.
    bool add(const PacketFlow& flow, const PacketHeader& header, PacketBytes bytes, std::uint64_t nowMillis)
    {
        const bool known = std::any_of(m_packets.begin(), m_packets.end(), [&](const Held& held) {
            return held.flow == flow && held.sequence == header.sequence && held.opens == header.opens
                && held.size == bytes.size();
        });
        if (known)
            return true;
        if (m_packets.size() >= maximumPackets)
            return false;
        // What counts is when the caller sent the first copy.
        m_packets.push_back({ flow, header.sequence, header.opens, bytes.size(),
            nowMillis - std::min(ageOf(header), nowMillis), std::vector<std::uint8_t>(bytes.begin(), bytes.end()) });
        return true;
    }

    /// How long before a packet its caller sent the first copy of it.
    static std::uint64_t ageOf(const PacketHeader& header)
    {
        return header.opens ? copyMillis[std::min<std::size_t>(header.retransmissions, copyMillis.size() - 1)] : 0;
    }

    /// Ends the wait of all packets and calls `take` with each that is still of use, and the time since it was sent.
    template <typename Take> void release(std::uint64_t nowMillis, const Take& take)
    {
        const auto waiting = std::exchange(m_packets, {});
        for (const auto& held : waiting) {
            if (nowMillis - held.sinceMillis <= longestMillis)
                take(PacketBytes(held.bytes), nowMillis - held.sinceMillis);
        }
    }

    /// Drops those that waited too long.
    void expire(std::uint64_t nowMillis)
    {
        std::erase_if(
            m_packets, [nowMillis](const Held& held) { return nowMillis - held.sinceMillis > longestMillis; });
    }

    std::size_t size() const { return m_packets.size(); }

private:
    static constexpr std::array<std::uint64_t, 3> copyMillis { 0, 200, 600 }; // when a caller sends its copies

    struct Held {
        PacketFlow flow;
        std::uint32_t sequence = 0;
        bool opens = false;
        std::size_t size = 0;
        std::uint64_t sinceMillis = 0;
        std::vector<std::uint8_t> bytes;
    };

    std::vector<Held> m_packets; // oldest first
};

} // namespace yuccahook::flow
