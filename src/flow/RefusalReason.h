#pragma once

#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>

namespace yuccahook::flow {

/// Why a packet or a stream was refused.
enum class RefusalReason : std::uint8_t {
    None,
    UnknownService,
    WrongService,
    NoMember,
    Draining,
    TableFull,
    UnknownFlow,
    UnknownMember,
    TooManyHops,
    BackendUnreachable,
    TrunkLost,
    Withdrawn,
    OwnerChanging ///< The bucket is moving to another agent; the sender should retry.
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::RefusalReason> {
    static constexpr std::array<std::string_view, 13> names { "none", "unknown-service", "wrong-service", "no-member",
        "draining", "table-full", "unknown-flow", "unknown-member", "too-many-hops", "backend-unreachable",
        "trunk-lost", "withdrawn", "owner-changing" };
};
