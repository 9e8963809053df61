#pragma once

#include "flow/PacketRoute.h"
#include "kernel/EnumNames.h"
#include "net/Address.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace yuccahook::flow {

/// How callers speak to a service.
enum class Protocol : std::uint8_t {
    Datagram,
    Stream,
    Http,
    Packet ///< Packets of flows that end at callers and backend servers; reached through routes, not an address.
};

/// What an agent takes: everything, no new work, or (until its lease ends) nobody knows.
enum class MemberState : std::uint8_t { Ready, Draining, Lost };

/// A service as its release notes describe it. The id is never reused.
struct ServiceSpec {
    std::uint32_t id = 0;
    std::string name;
    Protocol protocol = Protocol::Http;
    net::Address address;
    std::uint32_t buckets = 256;
    std::uint32_t idleSeconds = 300;
    std::uint32_t withdrawSeconds = 300;
    bool withdrawn = false;
    std::string requestPolicy; ///< JSON of the request policy; see request/.

    bool operator==(const ServiceSpec&) const = default;
};

/// One incarnation of an agent and the backend server beside it. The id is never reused.
struct Member {
    std::uint32_t id = 0;
    std::string agent;
    std::uint64_t incarnation = 0;
    std::uint32_t service = 0;
    net::Address trunk;
    std::string domain;
    std::uint32_t weight = 100;
    std::uint32_t slots = 1;
    std::uint32_t connections = 0;
    MemberState state = MemberState::Ready;

    bool operator==(const Member&) const = default;
};

/// The services and members that a revision names; immutable once published. Both lists are sorted by id.
struct Membership {
    std::uint64_t cluster = 0;
    std::uint64_t revision = 0;
    std::vector<ServiceSpec> services;
    std::vector<Member> members;
    std::uint64_t routeVersion = 0; ///< Of the route table in force; 0 when none is.
    std::uint64_t flowIdleMillis = 0;
    std::vector<PacketRoute> routes; ///< Sorted by address.

    const ServiceSpec* service(std::uint32_t id) const;
    const ServiceSpec* serviceNamed(std::string_view name) const;
    const Member* member(std::uint32_t id) const;
    const PacketRoute* route(const net::Address& address) const;
};

using MembershipPointer = std::shared_ptr<const Membership>;

/// What has changed between two revisions, or a whole state when `full`.
struct MembershipDelta {
    std::uint64_t cluster = 0;
    std::uint64_t revision = 0;
    bool full = false;
    std::vector<ServiceSpec> services;
    std::vector<std::uint32_t> removedServices;
    std::vector<Member> members;
    std::vector<std::uint32_t> removedMembers;
    std::uint64_t routeVersion = 0;
    std::uint64_t flowIdleMillis = 0;
    std::vector<PacketRoute> routes;
    std::vector<net::Address> removedRoutes;
    std::vector<net::Address> controlAddresses; ///< RPC addresses of control instances, as an answer names them.
};

/// The state after a delta; null when the delta is not newer than the state or belongs to another cluster.
MembershipPointer applyDelta(const Membership& before, const MembershipDelta& delta);

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::Protocol> {
    static constexpr std::array<std::string_view, 4> names { "datagram", "stream", "http", "packet" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::MemberState> {
    static constexpr std::array<std::string_view, 3> names { "ready", "draining", "lost" };
};
