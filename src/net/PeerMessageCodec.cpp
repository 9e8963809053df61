#include "net/PeerMessageCodec.h"

namespace yuccahook::net {

void writePeerMessage(schema::FlowMessage::Builder builder, const flow::PeerMessage& message)
{
    builder.setKind(static_cast<std::uint8_t>(message.kind));
    builder.setFull(message.full);
    builder.setFrom(message.from);
    builder.setTo(message.to);
    builder.setEpoch(message.epoch);
    builder.setRevision(message.revision);
    builder.setFlows(message.flows);
    auto buckets = builder.initBuckets(message.buckets.size());
    for (std::size_t index = 0; index < message.buckets.size(); ++index) {
        buckets[index].setBucket(message.buckets[index].bucket);
        buckets[index].setWasOwner(message.buckets[index].wasOwner);
        buckets[index].setStale(message.buckets[index].stale);
    }
    auto entries = builder.initEntries(message.entries.size());
    for (std::size_t index = 0; index < message.entries.size(); ++index) {
        const auto& entry = message.entries[index];
        entries[index].setCallerHigh(entry.caller.high);
        entries[index].setCallerLow(entry.caller.low);
        entries[index].setCallerPort(entry.caller.port);
        entries[index].setHolder(entry.holder);
        entries[index].setPlacement(entry.placement);
    }
}

flow::PeerMessage readPeerMessage(schema::FlowMessage::Reader reader)
{
    flow::PeerMessage message;
    message.kind = static_cast<flow::PeerKind>(reader.getKind());
    message.full = reader.getFull();
    message.from = reader.getFrom();
    message.to = reader.getTo();
    message.epoch = reader.getEpoch();
    message.revision = reader.getRevision();
    message.flows = reader.getFlows();
    for (const auto bucket : reader.getBuckets())
        message.buckets.push_back({ bucket.getBucket(), bucket.getWasOwner(), bucket.getStale() });
    for (const auto entry : reader.getEntries()) {
        message.entries.push_back({ { entry.getCallerHigh(), entry.getCallerLow(), entry.getCallerPort() },
            entry.getHolder(), entry.getPlacement() });
    }
    return message;
}

} // namespace yuccahook::net
