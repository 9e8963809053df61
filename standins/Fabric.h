#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs a stand-in for the fabric until a signal ends it: hands any datagram, and each new TCP connection, to any
/// balancer.
///
/// Options: --datagram LISTEN=BALANCER,BALANCER,... and --stream LISTEN=BALANCER,..., each any number of times;
/// --seed N; --lose-percent N (datagrams lost).
int runFabric(const Options& options);

} // namespace yuccahook::standins
