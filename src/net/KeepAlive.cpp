#include "net/KeepAlive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace yuccahook::net {

namespace {

constexpr int idleSeconds = 5;
constexpr int probeIntervalSeconds = 2;
constexpr int maximumProbes = 3;
constexpr int unacknowledgedMillis = 10'000;

void set(int descriptor, int level, int option, int value)
{
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

} // namespace

void enableKeepAlive(kj::AsyncIoStream& stream)
{
    KJ_IF_MAYBE (descriptor, stream.getFd()) {
        set(*descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        set(*descriptor, IPPROTO_TCP, TCP_KEEPIDLE, idleSeconds);
        set(*descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
        set(*descriptor, IPPROTO_TCP, TCP_KEEPCNT, maximumProbes);
        set(*descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMillis);
    }
}

} // namespace yuccahook::net
