#pragma once

#include "flow/FlowKey.h"
#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <vector>

namespace yuccahook::flow {

/// The kinds of messages that the agents of one service send each other about flows.
enum class PeerKind : std::uint8_t {
    Claim, ///< The owner of `buckets` at revision `epoch` claims them and requests the flows in them.
    Handover, ///< The reply to a claim: whether the sender was the buckets' owner, and the flows that it knows.
    HandoverTaken, ///< Acknowledges a handover; the former owner may erase its directory.
    Closed, ///< `entries` are no longer open at the sender.
    ClosedTaken, ///< Acknowledges a close: the owner has removed `entries`.
    Load ///< The sender's load.
};

/// A flow of the service and the member that holds it.
struct DirectoryEntry {
    net::Address caller;
    std::uint32_t holder = 0;
    std::uint64_t placement = 0;

    bool operator==(const DirectoryEntry&) const = default;
};

/// One bucket of a claim or a handover.
struct BucketState {
    std::uint32_t bucket = 0;
    bool wasOwner = false; ///< The sender decided for this bucket until now, so its entries are complete.
    bool stale = false; ///< The sender has promised the bucket to a later revision.

    bool operator==(const BucketState&) const = default;
};

/// A message between two agents. Messages may be lost, repeated or late.
struct PeerMessage {
    PeerKind kind = PeerKind::Load;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0; ///< Of the sender's membership.
    std::uint32_t flows = 0; ///< Open flows of the sender.
    bool full = false; ///< The sender accepts no new flows.
    std::vector<BucketState> buckets;
    std::vector<DirectoryEntry> entries;

    bool operator==(const PeerMessage&) const = default;
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::PeerKind> {
    static constexpr std::array<std::string_view, 6> names { "claim", "handover", "handover-taken", "closed",
        "closed-taken", "load" };
};
