#pragma once

#include "request/Claim.h"
#include "trunk.capnp.h"

namespace yuccahook::request {

void writeClaimMessage(const ClaimMessage& message, schema::ClaimMessage::Builder out);

/// The message; kinds and states outside their tables are read as they are and ignored by the claims.
ClaimMessage readClaimMessage(schema::ClaimMessage::Reader in);

} // namespace yuccahook::request
