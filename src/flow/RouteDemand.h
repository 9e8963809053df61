#pragma once

#include "net/Address.h"

#include <cstdint>
#include <map>

namespace yuccahook::flow {

/// How many bytes of long messages the callers of each route send in a flow, as a balancer has seen it lately.
class RouteDemand {
public:
    /// Counts a new flow.
    void addFlow(const net::Address& route)
    {
        Counts& counts = m_routes[route];
        if (++counts.flows < maximumFlows)
            return;
        counts.flows /= 2;
        counts.bytes /= 2;
    }

    /// Counts a full-sized packet of a flow.
    void addBytes(const net::Address& route, std::uint64_t bytes) { m_routes[route].bytes += bytes; }

    /// The mean of the recent flows; 0 before enough flows have been seen.
    std::uint64_t bytesPerFlow(const net::Address& route) const
    {
        const auto found = m_routes.find(route);
        return found != m_routes.end() && found->second.flows >= minimumFlows
            ? found->second.bytes / found->second.flows
            : 0;
    }

    /// Forgets the routes that no longer exist.
    template <typename Exists> void keepRoutes(const Exists& exists)
    {
        std::erase_if(m_routes, [&exists](const auto& entry) { return !exists(entry.first); });
    }

private:
    static constexpr std::uint64_t minimumFlows = 4;
    static constexpr std::uint64_t maximumFlows = 64; // the mean follows a change within about so many flows

    struct Counts {
        std::uint64_t flows = 0;
        std::uint64_t bytes = 0;
    };

    std::map<net::Address, Counts> m_routes;
};

} // namespace yuccahook::flow
