#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace yuccahook::observe {

/// A figure that any thread may raise or set.
using Counter = std::atomic<std::uint64_t>;

/// The counters of a process, by name. A name carries its unit and, for refusals and retries, its reason:
/// `flows_refused_total{reason="draining"}`.
class Counters {
public:
    /// The counter of that name, made at the first call; the reference stays valid.
    Counter& counter(std::string_view name);

    /// The counter of a name with one label, as in the example above.
    Counter& counter(std::string_view name, std::string_view label, std::string_view value);

    /// All counters as Prometheus text, each name with the prefix `yuccahook_`.
    std::string prometheusText() const;

    std::map<std::string, std::uint64_t> values() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Counter*, std::less<>> m_byName;
    std::deque<Counter> m_counters;
};

} // namespace yuccahook::observe
