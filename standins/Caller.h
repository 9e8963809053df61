#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs callers against the system and prints what they saw as one JSON object. Ends with 0 only when no flow broke
/// and every answer was right.
///
/// Options: --http IP:PORT with --http-callers N, --datagram IP:PORT with --flows N, --seconds N, --interval-ms N
/// (between a caller's messages), --post-percent N, --expect PREFIX (of the name of every backend server that may
/// answer), --acknowledged FILE (one line for each POST that was answered: its Idempotency-Key).
int runCaller(const Options& options);

} // namespace yuccahook::standins
