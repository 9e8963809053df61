#include "net/TrunkDatagram.h"

#include "trunk.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace yuccahook::net {

Bytes TrunkEncoder::encode(const TrunkDatagram& datagram)
{
    if (datagram.payload.size() > maximumPayloadBytes)
        return {};
    const kj::ArrayPtr<capnp::word> scratch(reinterpret_cast<capnp::word*>(m_words.data()), m_words.size());
    // The message fits the scratch segment, so nothing is allocated. The builder's destructor zeroes what it used.
    capnp::MallocMessageBuilder message(scratch);
    auto builder = message.initRoot<schema::TrunkDatagram>();
    builder.setKind(static_cast<std::uint8_t>(datagram.kind));
    builder.setHint(static_cast<std::uint8_t>(datagram.hint));
    builder.setHops(datagram.hops);
    builder.setReason(static_cast<std::uint8_t>(datagram.reason));
    builder.setService(datagram.key.service);
    builder.setMember(datagram.member);
    builder.setRevision(datagram.revision);
    builder.setCallerHigh(datagram.key.caller.high);
    builder.setCallerLow(datagram.key.caller.low);
    builder.setCallerPort(datagram.key.caller.port);
    builder.setReturnHigh(datagram.returnAddress.high);
    builder.setReturnLow(datagram.returnAddress.low);
    builder.setReturnPort(datagram.returnAddress.port);
    builder.setRoute(static_cast<std::uint8_t>(datagram.routing.kind));
    builder.setDeclinedBy(datagram.routing.declinedBy);
    builder.setEpoch(datagram.routing.epoch);
    builder.setPlacement(datagram.routing.placement);
    builder.setPayload(kj::arrayPtr(datagram.payload.data(), datagram.payload.size()));
    const auto segment = message.getSegmentsForOutput()[0].asBytes();
    std::memcpy(m_encoded.data(), segment.begin(), segment.size());
    return { m_encoded.data(), segment.size() };
}

std::optional<TrunkDatagram> decodeTrunkDatagram(Bytes bytes)
{
    if (bytes.size() % sizeof(capnp::word) != 0 || bytes.empty())
        return std::nullopt;
    const kj::ArrayPtr<const capnp::word> segment(
        reinterpret_cast<const capnp::word*>(bytes.data()), bytes.size() / sizeof(capnp::word));
    std::optional<TrunkDatagram> datagram;
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::SegmentArrayMessageReader message(kj::arrayPtr(&segment, 1));
        const auto reader = message.getRoot<schema::TrunkDatagram>();
        TrunkDatagram decoded;
        decoded.kind = static_cast<DatagramKind>(reader.getKind());
        decoded.hint = static_cast<flow::PacketHint>(reader.getHint());
        decoded.hops = reader.getHops();
        decoded.reason = static_cast<flow::RefusalReason>(reader.getReason());
        decoded.member = reader.getMember();
        decoded.revision = reader.getRevision();
        decoded.key
            = { { reader.getCallerHigh(), reader.getCallerLow(), reader.getCallerPort() }, reader.getService() };
        decoded.returnAddress = { reader.getReturnHigh(), reader.getReturnLow(), reader.getReturnPort() };
        decoded.routing = { static_cast<flow::RoutingKind>(reader.getRoute()), reader.getEpoch(), reader.getPlacement(),
            reader.getDeclinedBy() };
        const auto payload = reader.getPayload();
        decoded.payload = { payload.begin(), payload.size() };
        datagram = decoded;
    });
    return failure == nullptr ? datagram : std::nullopt;
}

} // namespace yuccahook::net
