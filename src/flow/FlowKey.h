#pragma once

#include "net/Address.h"

#include <cstdint>
#include <functional>

namespace yuccahook::flow {

/// Names a flow: the caller's address and the service it speaks to.
struct FlowKey {
    net::Address caller;
    std::uint32_t service = 0;

    bool operator==(const FlowKey&) const = default;
};

/// A hash that every instance computes alike, now and in later releases.
std::uint64_t hashOf(const FlowKey& key);

} // namespace yuccahook::flow

template <> struct std::hash<yuccahook::flow::FlowKey> {
    std::size_t operator()(const yuccahook::flow::FlowKey& key) const noexcept { return yuccahook::flow::hashOf(key); }
};
