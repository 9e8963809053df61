#include "flow/PacketEnvelope.h"

#include "flow/HomeRegions.h"

namespace yuccahook::flow {

namespace {

constexpr std::size_t fixedBytes = 2; // kind, tried members and flags
constexpr std::size_t openingBytes = 11; // service, goal, timeout, waited, priority
constexpr std::size_t originBytes = 6;
constexpr std::size_t triedMemberBytes = 4;
constexpr std::size_t flowBytes = 12; // two endpoints
constexpr std::size_t queryHeaderBytes = 1; // kind
constexpr std::size_t registerHeaderBytes = 1; // kind
constexpr std::size_t queriedFlowBytes = flowBytes + 4; // acknowledgement
constexpr std::size_t replyHeaderBytes = 9; // kind, revision
constexpr std::size_t repliedFlowBytes = flowBytes + 1; // holding
constexpr std::uint8_t originFlag = 0x80; // flags in the second byte; its other bits count the tried members
constexpr std::uint8_t suppressResetFlag = 0x40;
constexpr std::uint8_t openingFlag = 0x20;

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
            m_buffer[m_position++] = static_cast<std::uint8_t>(number >> (8 * shift));
    }

    void put(const PacketEndpoint& endpoint)
    {
        put(endpoint.host);
        put(endpoint.port);
    }

    void put(const PacketFlow& flow)
    {
        put(flow.caller);
        put(flow.route);
    }

private:
    Buffer& m_buffer;
    std::size_t m_position = 0;
};

/// Reads what Writer wrote; the caller has checked the size.
class Reader {
public:
    explicit Reader(PacketBytes bytes)
        : m_bytes(bytes)
    {
    }

    template <typename Number> Number read()
    {
        Number number = 0;
        for (std::size_t index = 0; index < sizeof(Number); ++index)
            number = static_cast<Number>(std::uint64_t { number } << 8 | m_bytes[m_position++]);
        return number;
    }

    PacketEndpoint readEndpoint()
    {
        PacketEndpoint endpoint;
        endpoint.host = read<std::uint32_t>();
        endpoint.port = read<std::uint16_t>();
        return endpoint;
    }

    PacketFlow readFlow()
    {
        PacketFlow flow;
        flow.caller = readEndpoint();
        flow.route = readEndpoint();
        return flow;
    }

    PacketBytes rest() const { return m_bytes.subspan(m_position); }

private:
    PacketBytes m_bytes;
    std::size_t m_position = 0;
};

} // namespace

EnvelopeKind kindOf(PacketBytes datagram) { return static_cast<EnvelopeKind>(datagram.front()); }

std::vector<std::uint8_t> encodePacket(const PacketEnvelope& envelope, PacketBytes packet)
{
    const bool hasOrigin = envelope.origin.port != 0;
    const bool opens = envelope.service != 0;
    const std::size_t tried = envelope.tried.size() + (envelope.homes != 0 ? 1 : 0);
    std::vector<std::uint8_t> bytes(fixedBytes + (hasOrigin ? originBytes : 0) + (opens ? openingBytes : 0)
        + tried * triedMemberBytes + packet.size());
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(envelope.kind));
    writer.put(static_cast<std::uint8_t>(tried | (hasOrigin ? originFlag : 0)
        | (envelope.suppressReset ? suppressResetFlag : 0) | (opens ? openingFlag : 0)));
    if (hasOrigin)
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
    if (envelope.homes != 0)
        writer.put(envelope.homes);
    std::copy(packet.begin(), packet.end(), bytes.end() - static_cast<std::ptrdiff_t>(packet.size()));
    return bytes;
}

std::optional<EnvelopedPacket> decodePacket(PacketBytes datagram)
{
    if (datagram.size() < fixedBytes)
        return std::nullopt;
    Reader reader(datagram);
    EnvelopedPacket decoded;
    decoded.envelope.kind = static_cast<EnvelopeKind>(reader.read<std::uint8_t>());
    const auto flags = reader.read<std::uint8_t>();
    const std::size_t tried = flags & ~(originFlag | suppressResetFlag | openingFlag);
    const bool hasOrigin = (flags & originFlag) != 0;
    const bool opens = (flags & openingFlag) != 0;
    const std::size_t variableBytes
        = (hasOrigin ? originBytes : 0) + (opens ? openingBytes : 0) + tried * triedMemberBytes;
    if (tried > PacketEnvelope::maximumHops || datagram.size() < fixedBytes + variableBytes)
        return std::nullopt;
    decoded.envelope.suppressReset = (flags & suppressResetFlag) != 0;
    if (hasOrigin)
        decoded.envelope.origin = reader.readEndpoint();
    if (opens) {
        decoded.envelope.service = reader.read<std::uint32_t>();
        decoded.envelope.goalMillis = reader.read<std::uint16_t>();
        decoded.envelope.timeoutMillis = reader.read<std::uint16_t>();
        decoded.envelope.waitedMillis = reader.read<std::uint16_t>();
        decoded.envelope.priority = reader.read<std::uint8_t>();
    }
    for (std::size_t index = 0; index < tried; ++index) {
        const auto number = reader.read<std::uint32_t>();
        if (HomeRegions::isTag(number))
            decoded.envelope.homes = number;
        else
            decoded.envelope.tried.push_back(number);
    }
    decoded.packet = reader.rest();
    return decoded;
}

std::array<std::uint8_t, holderBytes> encodeHolder(const PacketFlow& flow)
{
    std::array<std::uint8_t, holderBytes> bytes {};
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Holder));
    writer.put(flow);
    return bytes;
}

std::optional<PacketFlow> decodeHolder(PacketBytes datagram)
{
    if (datagram.size() != holderBytes)
        return std::nullopt;
    return Reader(datagram.subspan(1)).readFlow();
}

std::vector<std::uint8_t> encodeLoad(const AgentLoad& load)
{
    const bool isExtended = load.pressure != 0 || load.serviceMillis != 0;
    std::vector<std::uint8_t> bytes(isExtended ? extendedLoadBytes : loadBytes);
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Load));
    writer.put(static_cast<std::uint8_t>(load.accepts ? 1 : 0));
    writer.put(load.slots);
    writer.put(load.busy);
    if (isExtended) {
        writer.put(load.pressure);
        writer.put(load.serviceMillis);
    }
    return bytes;
}

std::optional<AgentLoad> decodeLoad(PacketBytes datagram)
{
    if (datagram.size() != loadBytes && datagram.size() != extendedLoadBytes)
        return std::nullopt;
    Reader reader(datagram.subspan(1));
    AgentLoad load;
    load.accepts = reader.read<std::uint8_t>() != 0;
    load.slots = reader.read<std::uint16_t>();
    load.busy = reader.read<std::uint16_t>();
    if (datagram.size() == extendedLoadBytes) {
        load.pressure = reader.read<std::uint8_t>();
        load.serviceMillis = reader.read<std::uint16_t>();
    }
    return load;
}

std::array<std::uint8_t, subscribeBytes> encodeSubscribe(std::uint32_t domain)
{
    std::array<std::uint8_t, subscribeBytes> bytes {};
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Subscribe));
    writer.put(domain);
    return bytes;
}

std::optional<std::uint32_t> decodeSubscribe(PacketBytes datagram)
{
    if (datagram.size() != subscribeBytes)
        return std::nullopt;
    return Reader(datagram.subspan(1)).read<std::uint32_t>();
}

std::vector<std::uint8_t> encodeQuery(const std::vector<QueriedFlow>& flows)
{
    std::vector<std::uint8_t> bytes(queryHeaderBytes + flows.size() * queriedFlowBytes);
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Query));
    for (const auto& queried : flows) {
        writer.put(queried.flow);
        writer.put(queried.acknowledged);
    }
    return bytes;
}

std::optional<std::vector<QueriedFlow>> decodeQuery(PacketBytes datagram)
{
    const std::size_t flowsBytes = datagram.size() - queryHeaderBytes;
    if (flowsBytes % queriedFlowBytes != 0 || flowsBytes / queriedFlowBytes > maximumQueriedFlows)
        return std::nullopt;
    Reader reader(datagram.subspan(queryHeaderBytes));
    std::vector<QueriedFlow> flows(flowsBytes / queriedFlowBytes);
    for (auto& queried : flows) {
        queried.flow = reader.readFlow();
        queried.acknowledged = reader.read<std::uint32_t>();
    }
    return flows;
}

std::vector<std::uint8_t> encodeRegister(const std::vector<PacketFlow>& flows)
{
    std::vector<std::uint8_t> bytes(registerHeaderBytes + flows.size() * flowBytes);
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Register));
    for (const auto& flow : flows)
        writer.put(flow);
    return bytes;
}

std::optional<std::vector<PacketFlow>> decodeRegister(PacketBytes datagram)
{
    const std::size_t flowsBytes = datagram.size() - registerHeaderBytes;
    if (flowsBytes % flowBytes != 0 || flowsBytes / flowBytes > maximumRegisteredFlows)
        return std::nullopt;
    Reader reader(datagram.subspan(registerHeaderBytes));
    std::vector<PacketFlow> flows(flowsBytes / flowBytes);
    for (auto& flow : flows)
        flow = reader.readFlow();
    return flows;
}

std::vector<std::uint8_t> encodeReply(const FlowReply& reply)
{
    std::vector<std::uint8_t> bytes(replyHeaderBytes + reply.flows.size() * repliedFlowBytes);
    Writer writer(bytes);
    writer.put(static_cast<std::uint8_t>(EnvelopeKind::Reply));
    writer.put(reply.revision);
    for (const auto& [flow, holding] : reply.flows) {
        writer.put(flow);
        writer.put(static_cast<std::uint8_t>(holding));
    }
    return bytes;
}

std::optional<FlowReply> decodeReply(PacketBytes datagram)
{
    if (datagram.size() < replyHeaderBytes)
        return std::nullopt;
    const std::size_t flowsBytes = datagram.size() - replyHeaderBytes;
    if (flowsBytes % repliedFlowBytes != 0 || flowsBytes / repliedFlowBytes > maximumQueriedFlows)
        return std::nullopt;
    Reader reader(datagram.subspan(1));
    FlowReply reply;
    reply.revision = reader.read<std::uint64_t>();
    reply.flows.resize(flowsBytes / repliedFlowBytes);
    for (auto& [flow, holding] : reply.flows) {
        flow = reader.readFlow();
        const auto value = reader.read<std::uint8_t>();
        if (value > static_cast<std::uint8_t>(FlowHolding::Possible))
            return std::nullopt;
        holding = static_cast<FlowHolding>(value);
    }
    return reply;
}

} // namespace yuccahook::flow
