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

void setOption(int descriptor, int level, int option, int value)
{
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

} // namespace

void enableKeepAlive(kj::AsyncIoStream& stream)
{
    KJ_IF_MAYBE (descriptor, stream.getFd()) {
        setOption(*descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(*descriptor, IPPROTO_TCP, TCP_KEEPIDLE, idleSeconds);
        setOption(*descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
        setOption(*descriptor, IPPROTO_TCP, TCP_KEEPCNT, maximumProbes);
        setOption(*descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMillis);
    }
}

} // namespace yuccahook::net
