#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs a stand-in for a backend server until a signal ends it. It announces itself to its agent, echoes datagrams,
/// and serves HTTP: any path answers with the backend's name, the method, the path and the request's body.
///
/// Options: --name, --listen IP:PORT, --agent IP:PORT (the agent's operator address), --service, --slots,
/// --connections, --service-ms (time a request takes), --cold-start-ms (before the first announcement),
/// --record FILE (one line for each non-GET request that ran: its Idempotency-Key or path), --shed 1 (refuse with 503
/// what exceeds the slots instead of queueing it), --work-record FILE (its history as JSON lines: requests that began
/// and ended, connections and datagram flows taken). The request header X-Work-Ms overrides the service time. SIGUSR2:
/// crash in the middle of the next answer. SIGHUP: announce a drain.
int runBackend(const Options& options);

} // namespace yuccahook::standins
