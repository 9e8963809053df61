#pragma once

#include "net/Address.h"

#include <cstdint>
#include <string>

namespace yuccahook::flow {

/// What a backend server of a packet service says of itself, again and again.
struct BackendReport {
    std::string id;
    std::uint64_t startedMillis = 0; ///< Its clock at its start, which tells its incarnations apart; 0 when not said.
    std::uint64_t sequence = 0; ///< Rises with each report of an incarnation.
    std::string service;
    net::Address address;
    std::uint32_t slots = 1;
    std::uint64_t coldRemainingMillis = 0; ///< For how much longer it is slow after its start.
    bool draining = false;
};

} // namespace yuccahook::flow
