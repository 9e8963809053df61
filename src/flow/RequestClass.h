#pragma once

#include "flow/PacketEnvelope.h"
#include "flow/PacketRoute.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace yuccahook::flow {

/// What the requests of a route need. Routes that need the same are one class.
struct RequestClass {
    std::uint16_t goalMillis = 0;
    std::uint16_t timeoutMillis = 0;
    std::uint8_t priority = 0; ///< 0 is the highest.

    auto operator<=>(const RequestClass&) const = default;

    static RequestClass of(const PacketEnvelope& envelope)
    {
        return { envelope.goalMillis, envelope.timeoutMillis, envelope.priority };
    }

    /// The class as an envelope would carry it.
    static RequestClass of(const PacketRoute& route)
    {
        return { static_cast<std::uint16_t>(std::min<std::uint32_t>(route.latencyGoalMillis, UINT16_MAX)),
            static_cast<std::uint16_t>(std::min<std::uint32_t>(route.timeoutMillis, UINT16_MAX)),
            static_cast<std::uint8_t>(std::min<std::uint32_t>(route.priority, UINT8_MAX)) };
    }
};

} // namespace yuccahook::flow
