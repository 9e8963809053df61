#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs a network fabric for trials until SIGTERM, then returns 0. It forwards every datagram and every new TCP
/// connection to a random balancer. With a single address behind it, it serves as a relay between any two processes.
///
/// Options:
///   --datagram LISTEN=BALANCER,...   forward datagrams; may be repeated
///   --stream LISTEN=BALANCER,...     forward TCP connections; may be repeated
///   --seed N                         of its random choices
///   --lose-percent N                 callers' datagrams that it drops
///   --record FILE                    a JSON line for each connection with the addresses of the caller and the balancer
///
/// Signal: SIGUSR2 makes every open connection go silent for good, while new ones work.
int runFabric(const Options& options);

} // namespace yuccahook::standins
