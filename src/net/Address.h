#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

namespace yuccahook::net {

/// An IP address and port. IPv4 is kept as IPv4-mapped IPv6, so one form serves both.
struct Address {
    std::uint64_t high = 0; ///< First eight bytes of the IPv6 form, as a big-endian number.
    std::uint64_t low = 0; ///< Last eight bytes, likewise.
    std::uint16_t port = 0; ///< 0 in an address that is not set.

    auto operator<=>(const Address&) const = default;

    bool isSet() const { return port != 0; }
    bool isIpv4() const;

    /// Formats the address as "10.0.0.1:80" or "[::1]:80".
    std::string text() const;

    /// Formats the address without its port.
    std::string host() const;

    /// Parses the format of `text`, with a port above 0. Host names are not resolved; null when malformed.
    static std::optional<Address> parse(std::string_view text);

    /// Parses an IP address without a port; null when malformed.
    static std::optional<Address> parseHost(std::string_view host, std::uint16_t port);

    /// Converts a socket address; an unset address for families other than IPv4 and IPv6.
    static Address fromSocket(const sockaddr_storage& socket);

    /// Fills `socket` and returns the length of the socket address in bytes.
    socklen_t toSocket(sockaddr_storage& socket) const;
};

/// Reads an address from a message. `Reader` is any type with the accessors of schema Endpoint.
template <typename Reader> Address readEndpoint(Reader reader)
{
    return { reader.getHigh(), reader.getLow(), reader.getPort() };
}

/// Writes an address that `readEndpoint` reads.
template <typename Builder> void writeEndpoint(Builder builder, const Address& address)
{
    builder.setHigh(address.high);
    builder.setLow(address.low);
    builder.setPort(address.port);
}

} // namespace yuccahook::net

template <> struct std::hash<yuccahook::net::Address> {
    std::size_t operator()(const yuccahook::net::Address& address) const noexcept
    {
        constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
        std::uint64_t mixed = (address.high ^ address.port) * multiplier;
        mixed ^= mixed >> 32;
        mixed = (mixed ^ address.low) * multiplier;
        return mixed ^ (mixed >> 29);
    }
};
