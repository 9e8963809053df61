#pragma once

#include "flow/PeerMessage.h"
#include "trunk.capnp.h"

namespace yuccahook::net {

/// Encodes a message between agents.
void writePeerMessage(schema::FlowMessage::Builder builder, const flow::PeerMessage& message);

/// Decodes a message that `writePeerMessage` encoded.
flow::PeerMessage readPeerMessage(schema::FlowMessage::Reader reader);

} // namespace yuccahook::net
