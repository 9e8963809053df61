#pragma once

#include "net/Address.h"

#include <cstdint>
#include <functional>

namespace yuccahook::flow {

/// Identifies a flow by its caller's address and the service that the caller uses.
struct FlowKey {
    net::Address caller;
    std::uint32_t service = 0;

    bool operator==(const FlowKey&) const = default;
};

/// A hash that is the same at every instance, in this and in later releases.
std::uint64_t hashOf(const FlowKey& key);

} // namespace yuccahook::flow

template <> struct std::hash<yuccahook::flow::FlowKey> {
    std::size_t operator()(const yuccahook::flow::FlowKey& key) const noexcept { return yuccahook::flow::hashOf(key); }
};
