#include "flow/PacketEnvelope.h"

namespace yuccahook::flow {

namespace {

constexpr std::size_t shortBytes = 2; // kind, hops
constexpr std::size_t openingBytes = 11; // service, goal, timeout, waited, priority
constexpr std::size_t originBytes = 6;
constexpr std::size_t triedBytes = 4;
constexpr std::uint8_t hasOrigin = 0x80; // in the byte of hops
constexpr std::uint8_t isQuiet = 0x40;
constexpr std::uint8_t hasOpening = 0x20;

/// Writes big-endian fields one after the other.
template <typename Buffer> class Writer {
public:
    explicit Writer(Buffer& buffer)
        : m_buffer(buffer)
    {
    }

    template <typename Number> void put(Number number)
    {
        for (std::size_t shift = sizeof(Number); shift-- > 0;)
            m_buffer[m_at++] = static_cast<std::uint8_t>(number >> (8 * shift));
    }

    void put(const PacketEndpoint& endpoint)
    {
        put(endpoint.host);
        put(endpoint.port);
    }

private:
    Buffer& m_buffer;
    std::size_t m_at = 0;
};

/// Reads what Writer wrote; the caller has checked the size.
class Reader {
public:
    explicit Reader(PacketBytes bytes)
        : m_bytes(bytes)
    {
    }

    template <typename Number> Number take()
    {
        Number number = 0;
        for (std::size_t index = 0; index < sizeof(Number); ++index)
            number = static_cast<Number>(std::uint64_t { number } << 8 | m_bytes[m_at++]);
        return number;
    }

    PacketEndpoint takeEndpoint()
    {
        PacketEndpoint endpoint;
        endpoint.host = take<std::uint32_t>();
        endpoint.port = take<std::uint16_t>();
        return endpoint;
    }

    PacketBytes rest() const { return m_bytes.subspan(m_at); }

private:
    PacketBytes m_bytes;
    std::size_t m_at = 0;
};

} // namespace

EnvelopeKind kindOf(PacketBytes datagram) { return static_cast<EnvelopeKind>(datagram.front()); }

std::vector<std::uint8_t> encodePacket(const PacketEnvelope& envelope, PacketBytes packet)
{
    const bool originSet = envelope.origin.port != 0;
    const bool opens = envelope.service != 0;
    std::vector<std::uint8_t> bytes(shortBytes + (originSet ? originBytes : 0) + (opens ? openingBytes : 0)
        + envelope.tried.size() * triedBytes + packet.size());
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(envelope.kind));
    writer.put(static_cast<std::uint8_t>(envelope.tried.size() | (originSet ? hasOrigin : 0)
        | (envelope.quiet ? isQuiet : 0) | (opens ? hasOpening : 0)));
    if (originSet)
        writer.put(envelope.origin);
    if (opens) {
        writer.put(envelope.service);
        writer.put(envelope.goalMillis);
        writer.put(envelope.timeoutMillis);
        writer.put(envelope.waitedMillis);
        writer.put(envelope.priority);
    }
    for (const std::uint32_t member : envelope.tried)
        writer.put(member);
    std::copy(packet.begin(), packet.end(), bytes.end() - static_cast<std::ptrdiff_t>(packet.size()));
    return bytes;
}

std::optional<EnvelopedPacket> decodePacket(PacketBytes datagram)
{
    if (datagram.size() < shortBytes)
        return std::nullopt;
    Reader reader(datagram);
    EnvelopedPacket read;
    read.envelope.kind = static_cast<EnvelopeKind>(reader.take<std::uint8_t>());
    const auto hops = reader.take<std::uint8_t>();
    const std::size_t tried = hops & ~(hasOrigin | isQuiet | hasOpening);
    const bool originSet = (hops & hasOrigin) != 0;
    const bool opens = (hops & hasOpening) != 0;
    const std::size_t more = (originSet ? originBytes : 0) + (opens ? openingBytes : 0) + tried * triedBytes;
    if (tried > PacketEnvelope::maximumHops || datagram.size() < shortBytes + more)
        return std::nullopt;
    read.envelope.quiet = (hops & isQuiet) != 0;
    if (originSet)
        read.envelope.origin = reader.takeEndpoint();
    if (opens) {
        read.envelope.service = reader.take<std::uint32_t>();
        read.envelope.goalMillis = reader.take<std::uint16_t>();
        read.envelope.timeoutMillis = reader.take<std::uint16_t>();
        read.envelope.waitedMillis = reader.take<std::uint16_t>();
        read.envelope.priority = reader.take<std::uint8_t>();
    }
    for (std::size_t index = 0; index < tried; ++index)
        read.envelope.tried.push_back(reader.take<std::uint32_t>());
    read.packet = reader.rest();
    return read;
}

std::array<std::uint8_t, 13> encodeHolder(const PacketFlow& flow)
{
    std::array<std::uint8_t, 13> bytes {};
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Holder));
    writer.put(flow.caller);
    writer.put(flow.route);
    return bytes;
}

std::optional<PacketFlow> decodeHolder(PacketBytes datagram)
{
    if (datagram.size() != 13)
        return std::nullopt;
    Reader reader(datagram.subspan(1));
    PacketFlow flow;
    flow.caller = reader.takeEndpoint();
    flow.route = reader.takeEndpoint();
    return flow;
}

std::array<std::uint8_t, 6> encodeLoad(const AgentLoad& load)
{
    std::array<std::uint8_t, 6> bytes {};
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Load));
    writer.put(static_cast<std::uint8_t>(load.accepts ? 1 : 0));
    writer.put(load.slots);
    writer.put(load.busy);
    return bytes;
}

std::optional<AgentLoad> decodeLoad(PacketBytes datagram)
{
    if (datagram.size() != 6)
        return std::nullopt;
    Reader reader(datagram.subspan(1));
    AgentLoad load;
    load.accepts = reader.take<std::uint8_t>() != 0;
    load.slots = reader.take<std::uint16_t>();
    load.busy = reader.take<std::uint16_t>();
    return load;
}

std::array<std::uint8_t, 5> encodeSubscribe(std::uint32_t domain)
{
    std::array<std::uint8_t, 5> bytes {};
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Subscribe));
    writer.put(domain);
    return bytes;
}

std::optional<std::uint32_t> decodeSubscribe(PacketBytes datagram)
{
    if (datagram.size() != 5)
        return std::nullopt;
    return Reader(datagram.subspan(1)).take<std::uint32_t>();
}

} // namespace yuccahook::flow
