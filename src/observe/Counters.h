#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace yuccahook::observe {

/// The value of a metric, which any thread may increment or set.
using Counter = std::atomic<std::uint64_t>;

/// The counters and gauges of a process, by name. A name includes the unit and, for refusals and retries, the reason as
/// a label: `flows_refused_total{reason="draining"}`. Thread-safe.
class Counters {
public:
    /// The counter with that name, created as 0 by the first call. The reference is valid as long as this object.
    Counter& counter(std::string_view name);

    /// The counter with a name and one label, as in the example above.
    Counter& counter(std::string_view name, std::string_view label, std::string_view value);

    /// All counters in the Prometheus text format, each name with the prefix `yuccahook_`.
    std::string prometheusText() const;

    /// A copy of all values, by name with label.
    std::map<std::string, std::uint64_t> values() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Counter*, std::less<>> m_byName;
    std::deque<Counter> m_counters;
};

} // namespace yuccahook::observe
