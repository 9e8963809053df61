#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs a backend server for trials until SIGTERM, then returns 0. It reports to its agent, echoes datagrams and serves
/// HTTP. Every path is answered with the backend server's name, the method, the path and the request's body.
///
/// Options:
///   --name NAME          its name in answers
///   --listen IP:PORT     where it serves HTTP (TCP) and datagrams (UDP)
///   --agent IP:PORT      the agent's operator address
///   --service NAME       the service that it reports
///   --slots N            requests that it runs at once, as reported and as enforced
///   --connections N      the limit of connections that it reports
///   --service-ms N       service time of a request; the request header X-Work-Ms overrides it
///   --cold-start-ms N    wait before the first report to the agent
///   --record FILE        a line for each non-GET request that ran: its Idempotency-Key or, without one, its path
///   --shed 1             answer 503 to a request that exceeds the slots instead of queueing it
///   --work-record FILE   JSON lines: requests begun and ended, connections accepted, datagram flows first seen
///
/// Signals: SIGUSR2 crashes the process in the middle of the next answer; SIGHUP reports that it is draining.
int runBackend(const Options& options);

} // namespace yuccahook::standins
