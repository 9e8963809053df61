#pragma once

#include "observe/Counters.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace yuccahook::observe {

/// A Prometheus histogram of durations in milliseconds; its cumulative buckets have upper bounds that double.
class Histogram {
public:
    /// Creates the counters `NAME_bucket{le="..."}`, `NAME_sum` and `NAME_count`.
    Histogram(Counters& counters, std::string_view name);

    /// Counts one duration; from any thread.
    void add(std::uint64_t millis);

private:
    static constexpr std::array<std::uint64_t, 13> boundsMillis { 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048,
        4096 };

    std::array<Counter*, boundsMillis.size() + 1> m_buckets {}; // the last one is unbounded
    Counter& m_sum;
    Counter& m_count;
};

} // namespace yuccahook::observe
