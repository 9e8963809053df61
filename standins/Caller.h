#pragma once

#include "Options.h"

namespace yuccahook::standins {

/// Runs callers against the system and prints their counts as one JSON object. Returns 0 only if no flow broke and
/// every answer was right, else 1.
///
/// Options:
///   --http IP:PORT           address of an HTTP service, for --http-callers
///   --http-callers N         callers that send requests, each on a connection of its own
///   --datagram IP:PORT       address of a datagram service, for --flows
///   --flows N                datagram flows
///   --seconds N              length of the run
///   --interval-ms N          pause between a caller's messages
///   --post-percent N         share of requests that are a POST with an Idempotency-Key; the others are a GET
///   --expect PREFIX          of the name of every backend server that may answer
///   --first-id N             id of the first caller and of the first flow; the others count up from it
///   --seed N                 of the choice between POST and GET
///   --acknowledged FILE      a line for each POST that was answered: its Idempotency-Key
///   --record FILE            a JSON line for each attempt with its outcome and for each datagram flow
///   --resend 1               send a POST again with its key when it ended without a whole answer
///   --connection-seconds N   age at which a caller closes its connection and opens another
int runCaller(const Options& options);

} // namespace yuccahook::standins
