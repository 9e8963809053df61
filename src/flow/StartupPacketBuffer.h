#pragma once

#include "flow/PacketCodec.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>
#include <vector>

namespace yuccahook::flow {

/// Packets that arrive soon after the start of a process, before it knows what it needs to handle them: a balancer the
/// routes and loads, an agent its backend server and the membership.
class StartupPacketBuffer {
public:
    static constexpr std::uint64_t maximumAgeMillis = 1200; ///< A caller abandons an attempt after 1.4 s.
    static constexpr std::size_t maximumPackets = 4096; ///< About 5 MB at most.

    /// Adds a packet unless an equal one is buffered already. Returns false if the buffer is full.
    bool add(const PacketFlow& flow, const PacketHeader& header, PacketBytes bytes, std::uint64_t nowMillis)
    {
        const bool isBuffered = std::any_of(m_packets.begin(), m_packets.end(), [&](const Entry& entry) {
            return entry.flow == flow && entry.sequence == header.sequence && entry.opens == header.opens
                && entry.size == bytes.size();
        });
        if (isBuffered)
            return true;
        if (m_packets.size() >= maximumPackets)
            return false;
        // The age of a retransmission counts from the caller's first transmission.
        m_packets.push_back(
            { flow, header.sequence, header.opens, bytes.size(), nowMillis - std::min(ageMillisOf(header), nowMillis),
                std::vector<std::uint8_t>(bytes.begin(), bytes.end()) });
        return true;
    }

    /// How long before this transmission of a packet its caller transmitted it first, in milliseconds.
    static std::uint64_t ageMillisOf(const PacketHeader& header)
    {
        return header.opens
            ? transmissionMillis[std::min<std::size_t>(header.retransmissions, transmissionMillis.size() - 1)]
            : 0;
    }

    /// Empties the buffer. Calls `handle` with each packet that is not too old, and the milliseconds since its caller
    /// first transmitted it.
    template <typename Handle> void release(std::uint64_t nowMillis, const Handle& handle)
    {
        const auto waiting = std::exchange(m_packets, {});
        for (const auto& entry : waiting) {
            if (nowMillis - entry.firstSentMillis <= maximumAgeMillis)
                handle(PacketBytes(entry.bytes), nowMillis - entry.firstSentMillis);
        }
    }

    /// Drops the packets that are too old.
    void expire(std::uint64_t nowMillis)
    {
        std::erase_if(m_packets,
            [nowMillis](const Entry& entry) { return nowMillis - entry.firstSentMillis > maximumAgeMillis; });
    }

    std::size_t size() const { return m_packets.size(); }

private:
    // When a caller transmits an opening packet, counted from the first time.
    static constexpr std::array<std::uint64_t, 3> transmissionMillis { 0, 200, 600 };

    struct Entry {
        PacketFlow flow;
        std::uint32_t sequence = 0;
        bool opens = false;
        std::size_t size = 0;
        std::uint64_t firstSentMillis = 0;
        std::vector<std::uint8_t> bytes;
    };

    std::vector<Entry> m_packets; // in order of arrival
};

} // namespace yuccahook::flow
