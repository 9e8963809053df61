#include "net/PeerMessageCodec.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

using namespace yuccahook;

TEST_CASE("A message between agents survives encoding and decoding")
{
    flow::PeerMessage message;
    const auto roundTrip = [&] {
        capnp::MallocMessageBuilder builder;
        net::writePeerMessage(builder.initRoot<schema::FlowMessage>(), message);
        return net::readPeerMessage(builder.getRoot<schema::FlowMessage>().asReader());
    };

    SUBCASE("a message with default values") { CHECK(roundTrip() == message); }

    SUBCASE("a message with every field, buckets and entries")
    {
        message.kind = flow::PeerKind::Handover;
        message.from = 7;
        message.to = 8;
        message.epoch = 1ULL << 40;
        message.revision = 1ULL << 41;
        message.flows = 9;
        message.full = true;
        message.buckets = { { 1, true, false }, { 255, false, true } };
        message.entries = { { { 1ULL << 63, 2, 3 }, 4, 5ULL << 32 }, { { 0, 1, 65535 }, ~0U, ~0ULL } };
        CHECK(roundTrip() == message);
    }
}
