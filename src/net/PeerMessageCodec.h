#pragma once

#include "flow/PeerMessage.h"
#include "trunk.capnp.h"

namespace yuccahook::net {

/// Fills the schema's form of a message between agents.
void writePeerMessage(schema::FlowMessage::Builder builder, const flow::PeerMessage& message);

/// Reads what `writePeerMessage` wrote.
flow::PeerMessage readPeerMessage(schema::FlowMessage::Reader reader);

} // namespace yuccahook::net
