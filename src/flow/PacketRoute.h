#pragma once

#include "kernel/EnumNames.h"
#include "net/Address.h"

#include <array>
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
    std::vector<std::string> homes {}; ///< Regions whose backend servers may serve the route; empty: all.

    bool operator==(const PacketRoute&) const = default;
};

/// How agents order and refuse new flows when a service has too few free slots.
enum class OverloadPolicy : std::uint8_t {
    Goal, ///< By latency goal, priority and age.
    LeastCost ///< By what a delay or a refusal costs the callers.
};

/// The limit for new flows to a backend server that has just started.
struct ColdLimit {
    std::uint32_t coldMillis = 0; ///< How long a backend server is cold after its start.
    double perSecond = 0; ///< Requests a second that it bears meanwhile; 0: no limit.

    bool operator==(const ColdLimit&) const = default;
};

/// A service of a route table.
struct RouteService {
    std::string name;
    ColdLimit cold {};

    bool operator==(const RouteService&) const = default;
};

/// All routes of one version, as published by an operator.
struct RouteTable {
    std::uint64_t version = 0;
    std::vector<PacketRoute> routes; ///< Sorted by address.
    std::vector<RouteService> services; ///< Services that backend servers may report to belong to.
    std::uint64_t flowIdleMillis = 0; ///< A flow that is idle for longer may be forgotten.
    OverloadPolicy overload = OverloadPolicy::Goal;
    std::string document; ///< The text that the operator sent, kept for reading it back.
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::OverloadPolicy> {
    static constexpr std::array<std::string_view, 2> names { "goal", "least-cost" };
};
