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

/// The protocol that callers use with a service.
enum class Protocol : std::uint8_t {
    Datagram,
    Stream,
    Http,
    Packet ///< Packets of flows whose ends are callers and backend servers; reached through routes, not an address.
};

/// Whether an agent accepts all traffic, accepts no new work, or is out of contact until its lease ends.
enum class MemberState : std::uint8_t { Ready, Draining, Lost };

/// A service as published in release notes. The id is never reused.
struct ServiceSpec {
    std::uint32_t id = 0;
    std::string name;
    Protocol protocol = Protocol::Http;
    net::Address address;
    std::uint32_t buckets = 256;
    std::uint32_t idleSeconds = 300; ///< A datagram flow that is idle for this long is closed.
    std::uint32_t withdrawSeconds = 300;
    bool withdrawn = false;
    std::string requestPolicy; ///< The request policy as JSON text; see request/.
    ColdLimit cold {}; ///< Of a packet service.

    bool operator==(const ServiceSpec&) const = default;
};

/// One incarnation of an agent and its backend server. The id is never reused.
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

/// The services, members and routes of one revision; immutable once published. Services and members are sorted by id.
struct Membership {
    std::uint64_t cluster = 0;
    std::uint64_t revision = 0;
    std::vector<ServiceSpec> services;
    std::vector<Member> members;
    std::uint64_t routeVersion = 0; ///< Of the route table in force; 0 if there is none.
    std::uint64_t flowIdleMillis = 0;
    std::vector<PacketRoute> routes; ///< Sorted by address.
    std::vector<std::string> evacuated {}; ///< Failure domains that get no new flows; sorted.
    OverloadPolicy overload = OverloadPolicy::Goal;
    bool hasAllServices = false; ///< Whether `services` are all that are configured, not only those that are followed.

    /// The service with that id, or null.
    const ServiceSpec* service(std::uint32_t id) const;

    /// The service with that name that is not withdrawn, or null.
    const ServiceSpec* serviceNamed(std::string_view name) const;

    /// Whether a service of that name may be configured. False only if all services are known and none has that name;
    /// before the first service is configured, nothing is known.
    bool mayHaveService(std::string_view name) const;

    /// The member with that id, or null.
    const Member* member(std::uint32_t id) const;

    /// The route of that address, or null.
    const PacketRoute* route(const net::Address& address) const;

    bool isEvacuated(std::string_view domain) const;
};

using MembershipPointer = std::shared_ptr<const Membership>;

/// The changes between two revisions, or a whole membership if `full`.
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
    std::vector<net::Address> controlAddresses; ///< RPC addresses of the control instances, as listed in a reply.
    std::vector<std::string> evacuated {}; ///< All evacuated failure domains, not only the changed ones; sorted.
    OverloadPolicy overload = OverloadPolicy::Goal;
    bool hasAllServices = false; ///< Whether no changed service is left out.
};

/// Returns the membership after a delta; null if the delta is not newer or belongs to another cluster. A membership of
/// revision 0 has no cluster yet and accepts any.
MembershipPointer applyDelta(const Membership& before, const MembershipDelta& delta);

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::Protocol> {
    static constexpr std::array<std::string_view, 4> names { "datagram", "stream", "http", "packet" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::MemberState> {
    static constexpr std::array<std::string_view, 3> names { "ready", "draining", "lost" };
};
