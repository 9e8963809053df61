#include "net/Address.h"

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <endian.h>

namespace yuccahook::net {

namespace {

constexpr std::uint64_t ipv4Prefix = 0x0000ffff00000000;
constexpr std::uint64_t ipv4PrefixMask = 0xffffffff00000000;

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), port);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || port == 0)
        return std::nullopt;
    return port;
}

Address fromIpv6Bytes(const std::uint8_t* bytes, std::uint16_t port)
{
    Address address;
    std::memcpy(&address.high, bytes, sizeof(address.high));
    std::memcpy(&address.low, bytes + sizeof(address.high), sizeof(address.low));
    address.high = be64toh(address.high);
    address.low = be64toh(address.low);
    address.port = port;
    return address;
}

in6_addr toIpv6(const Address& address)
{
    in6_addr bytes {};
    const std::uint64_t high = htobe64(address.high);
    const std::uint64_t low = htobe64(address.low);
    std::memcpy(bytes.s6_addr, &high, sizeof(high));
    std::memcpy(bytes.s6_addr + sizeof(high), &low, sizeof(low));
    return bytes;
}

} // namespace

bool Address::isIpv4() const { return high == 0 && (low & ipv4PrefixMask) == ipv4Prefix; }

std::string Address::host() const
{
    std::array<char, INET6_ADDRSTRLEN> buffer {};
    if (isIpv4()) {
        const in_addr bytes { htonl(static_cast<std::uint32_t>(low)) };
        inet_ntop(AF_INET, &bytes, buffer.data(), buffer.size());
    } else {
        const in6_addr bytes = toIpv6(*this);
        inet_ntop(AF_INET6, &bytes, buffer.data(), buffer.size());
    }
    return buffer.data();
}

std::string Address::text() const
{
    if (isIpv4())
        return host() + ":" + std::to_string(port);
    return "[" + host() + "]:" + std::to_string(port);
}

std::optional<Address> Address::parseHost(std::string_view host, std::uint16_t port)
{
    const std::string text(host);
    in_addr ipv4 {};
    if (inet_pton(AF_INET, text.c_str(), &ipv4) == 1)
        return Address { 0, ipv4Prefix | ntohl(ipv4.s_addr), port };
    in6_addr ipv6 {};
    if (inet_pton(AF_INET6, text.c_str(), &ipv6) == 1)
        return fromIpv6Bytes(ipv6.s6_addr, port);
    return std::nullopt;
}

std::optional<Address> Address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parsePort(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    if (!port || bracketed != (host.find(':') != std::string_view::npos))
        return std::nullopt;
    return parseHost(host, *port);
}

Address Address::fromSocket(const sockaddr_storage& socket)
{
    if (socket.ss_family == AF_INET) {
        const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(socket);
        return { 0, ipv4Prefix | ntohl(ipv4.sin_addr.s_addr), ntohs(ipv4.sin_port) };
    }
    if (socket.ss_family == AF_INET6) {
        const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(socket);
        return fromIpv6Bytes(ipv6.sin6_addr.s6_addr, ntohs(ipv6.sin6_port));
    }
    return {};
}

socklen_t Address::toSocket(sockaddr_storage& socket) const
{
    socket = {};
    if (isIpv4()) {
        auto& ipv4 = reinterpret_cast<sockaddr_in&>(socket);
        ipv4.sin_family = AF_INET;
        ipv4.sin_addr.s_addr = htonl(static_cast<std::uint32_t>(low));
        ipv4.sin_port = htons(port);
        return sizeof(sockaddr_in);
    }
    auto& ipv6 = reinterpret_cast<sockaddr_in6&>(socket);
    ipv6.sin6_family = AF_INET6;
    ipv6.sin6_addr = toIpv6(*this);
    ipv6.sin6_port = htons(port);
    return sizeof(sockaddr_in6);
}

} // namespace yuccahook::net
