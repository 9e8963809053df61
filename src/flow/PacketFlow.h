#pragma once

#include "net/Address.h"

#include <cstdint>
#include <functional>

namespace yuccahook::flow {

/// An IPv4 address and a port.
struct PacketEndpoint {
    std::uint32_t host = 0;
    std::uint16_t port = 0;

    bool operator==(const PacketEndpoint&) const = default;

    /// The endpoint as an IPv4-mapped address.
    net::Address address() const { return { 0, ipv4Prefix | host, port }; }

    /// The endpoint of an IPv4-mapped address.
    static PacketEndpoint of(const net::Address& address)
    {
        return { static_cast<std::uint32_t>(address.low), address.port };
    }

private:
    static constexpr std::uint64_t ipv4Prefix = 0xffffULL << 32; // of an IPv4-mapped IPv6 address
};

/// Identifies a flow of packets by its caller and the route's address, to which the caller sends.
struct PacketFlow {
    PacketEndpoint caller;
    PacketEndpoint route;

    bool operator==(const PacketFlow&) const = default;
};

/// A hash that is the same at every instance.
inline std::uint64_t hashOf(const PacketFlow& flow)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    std::uint64_t mixed = (std::uint64_t { flow.caller.host } << 32 | flow.route.host) * multiplier;
    mixed ^= mixed >> 29;
    mixed = (mixed ^ (std::uint64_t { flow.caller.port } << 16 | flow.route.port)) * multiplier;
    return mixed ^ (mixed >> 32);
}

} // namespace yuccahook::flow

template <> struct std::hash<yuccahook::flow::PacketEndpoint> {
    std::size_t operator()(const yuccahook::flow::PacketEndpoint& endpoint) const noexcept
    {
        return std::hash<std::uint64_t> {}(std::uint64_t { endpoint.host } << 16 | endpoint.port);
    }
};

template <> struct std::hash<yuccahook::flow::PacketFlow> {
    std::size_t operator()(const yuccahook::flow::PacketFlow& flow) const noexcept
    {
        return yuccahook::flow::hashOf(flow);
    }
};
