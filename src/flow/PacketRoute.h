#pragma once

#include "net/Address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccahook::flow {

/// A service that gets a share of a route's new flows.
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the route's other targets; with 0 it gets no flow.

    bool operator==(const RouteTarget&) const = default;
};

/// The services that the flows to one address go to, and the requirements of their requests.
struct PacketRoute {
    net::Address address;
    std::string name;
    std::vector<RouteTarget> targets;
    std::uint32_t latencyGoalMillis = 0;
    std::uint32_t timeoutMillis = 0;
    std::uint32_t priority = 0; ///< 0 is the highest.
    bool idempotent = false;

    bool operator==(const PacketRoute&) const = default;
};

/// All routes of one version, as published by an operator.
struct RouteTable {
    std::uint64_t version = 0;
    std::vector<PacketRoute> routes; ///< Sorted by address.
    std::vector<std::string> services; ///< Services that backend servers may report to belong to.
    std::uint64_t flowIdleMillis = 0; ///< A flow that is idle for longer may be forgotten.
    std::string document; ///< The text that the operator sent, kept for reading it back.
};

} // namespace yuccahook::flow
