#pragma once

#include <kj/async-io.h>

namespace yuccahook::net {

/// Makes the system probe an idle TCP connection, so that a peer that vanished without a word is found within
/// seconds. Streams that are not sockets are left as they are.
void enableKeepAlive(kj::AsyncIoStream& stream);

} // namespace yuccahook::net
