#pragma once

#include "request/Claim.h"
#include "trunk.capnp.h"

namespace yuccahook::request {

void writeClaimMessage(const ClaimMessage& message, schema::ClaimMessage::Builder out);

/// Reads a message. Unknown kinds and states are kept as they are; ClaimTable ignores unknown kinds.
ClaimMessage readClaimMessage(schema::ClaimMessage::Reader in);

} // namespace yuccahook::request
