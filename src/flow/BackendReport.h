#pragma once

#include "net/Address.h"

#include <cstdint>
#include <string>

namespace yuccahook::flow {

/// The report that a backend server of a packet service sends to its agent at a regular interval.
struct BackendReport {
    std::string id;
    std::uint64_t startedMillis
        = 0; ///< The backend server's clock at its start, which identifies the incarnation; 0 if not given.
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    std::string service;
    net::Address address;
    std::uint32_t slots = 1;
    std::uint64_t coldRemainingMillis = 0; ///< For how much longer the backend server is slow after its start.
    bool draining = false;
};

} // namespace yuccahook::flow
