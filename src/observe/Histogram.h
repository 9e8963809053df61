#pragma once

#include "observe/Counters.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace yuccahook::observe {

/// Counts durations in milliseconds by upper bounds that double, as Prometheus histograms are served.
class Histogram {
public:
    /// Makes the counters `NAME_bucket{le="..."}`, `NAME_sum` and `NAME_count`.
    Histogram(Counters& counters, std::string_view name);

    void add(std::uint64_t millis);

private:
    static constexpr std::array<std::uint64_t, 13> bounds { 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096 };

    std::array<Counter*, bounds.size() + 1> m_buckets {}; // the last has no bound
    Counter& m_sum;
    Counter& m_count;
};

} // namespace yuccahook::observe
