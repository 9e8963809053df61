#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs callers against the system and prints what they saw as one JSON object. Ends with 0 only when no flow broke
/// and every answer was right.
///
/// Options: --http IP:PORT with --http-callers N, --datagram IP:PORT with --flows N, --seconds N, --interval-ms N
/// (between a caller's messages), --post-percent N, --expect PREFIX (of the name of every backend server that may
/// answer), --acknowledged FILE (one line for each POST that was answered: its Idempotency-Key),
/// --record FILE (a JSON line for each attempt with its outcome), --resend 1 (send a POST again with its key when its
/// connection ended without a whole answer), --connection-seconds N (after which a caller closes its connection and
/// opens another).
int runCaller(const Options& options);

} // namespace yuccahook::standins
