#include "observe/Histogram.h"

#include <string>

namespace yuccahook::observe {

Histogram::Histogram(Counters& counters, std::string_view name)
    : m_sum(counters.counter(std::string(name) + "_sum"))
    , m_count(counters.counter(std::string(name) + "_count"))
{
    const std::string bucket = std::string(name) + "_bucket";
    for (std::size_t index = 0; index < boundsMillis.size(); ++index)
        m_buckets[index] = &counters.counter(bucket, "le", std::to_string(boundsMillis[index]));
    m_buckets.back() = &counters.counter(bucket, "le", "+Inf");
}

void Histogram::add(std::uint64_t millis)
{
    for (std::size_t index = 0; index < boundsMillis.size(); ++index) {
        if (millis <= boundsMillis[index])
            *m_buckets[index] += 1;
    }
    *m_buckets.back() += 1;
    m_sum += millis;
    m_count += 1;
}

} // namespace yuccahook::observe
