#pragma once

#include "flow/FlowKey.h"
#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <vector>

namespace yuccahook::flow {

/// What agents of one service tell each other about flows.
enum class PeerKind : std::uint8_t {
    Claim, ///< The owner of `buckets` at revision `epoch` asks for them and for the flows in them.
    Handover, ///< The answer: who was the buckets' owner, and the flows that the sender knows.
    HandoverTaken, ///< The owner has taken a handover; the old directory may go.
    Closed, ///< `entries` are no longer open at the sender.
    ClosedTaken, ///< The owner has removed them.
    Load ///< How much the sender holds.
};

/// Where a flow lives.
struct DirectoryEntry {
    net::Address caller;
    std::uint32_t holder = 0;
    std::uint64_t placement = 0;

    bool operator==(const DirectoryEntry&) const = default;
};

/// One bucket of a claim or a handover.
struct BucketState {
    std::uint32_t bucket = 0;
    bool wasOwner = false; ///< The sender decided for this bucket and stops now: its entries are complete.
    bool stale = false; ///< The sender has promised the bucket to a later revision.

    bool operator==(const BucketState&) const = default;
};

/// A message between two agents. Any may be lost, repeated or late.
struct PeerMessage {
    PeerKind kind = PeerKind::Load;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0; ///< Of the sender's membership.
    std::uint32_t flows = 0;
    bool full = false; ///< The sender takes no new flows.
    std::vector<BucketState> buckets;
    std::vector<DirectoryEntry> entries;

    bool operator==(const PeerMessage&) const = default;
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::PeerKind> {
    static constexpr std::array<std::string_view, 6> names { "claim", "handover", "handover-taken", "closed",
        "closed-taken", "load" };
};
