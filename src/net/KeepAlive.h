#pragma once

#include <kj/async-io.h>

namespace yuccahook::net {

/// Enables TCP keep-alive with short intervals, so that a peer that disappeared without closing the connection is
/// detected within seconds. Does nothing for streams that are not sockets.
void enableKeepAlive(kj::AsyncIoStream& stream);

} // namespace yuccahook::net
