#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs a stand-in for the fabric until a signal ends it: hands any datagram, and each new TCP connection, to any
/// balancer.
///
/// Options: --datagram LISTEN=BALANCER,BALANCER,... and --stream LISTEN=BALANCER,..., each any number of times;
/// --seed N; --lose-percent N (datagrams lost); --record FILE (a JSON line for each connection: whose it is and the
/// balancer it met). SIGUSR2: every open connection goes silent for good, while new ones work. With one address behind
/// it, it stands between any two processes.
int runFabric(const Options& options);

} // namespace yuccahook::standins
