#include "control/ControlWork.h"

#include "observe/Log.h"

#include <nlohmann/json.hpp>

namespace yuccahook::control {

namespace {

constexpr auto slowWork = std::chrono::milliseconds(200); // two heartbeat intervals of the quorum

} // namespace

ControlWorkMeter::ControlWorkMeter(observe::Counters& counters)
{
    const auto& names = kernel::EnumNames<ControlWork>::names;
    for (std::size_t work = 0; work < names.size(); ++work) {
        m_totals[work] = &counters.counter("control_work_micros_total", "work", names[work]);
        m_longest[work] = &counters.counter("control_work_longest_micros", "work", names[work]);
    }
}

void ControlWorkMeter::add(ControlWork work, std::chrono::microseconds elapsed)
{
    const auto index = static_cast<std::size_t>(work);
    const auto micros = static_cast<std::uint64_t>(elapsed.count());
    *m_totals[index] += micros;
    if (micros > *m_longest[index])
        *m_longest[index] = micros;
    if (elapsed > slowWork) {
        observe::log(observe::Level::Warn, "control-work-slow",
            { { "work", kernel::nameOf(work) },
                { "millis", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() } });
    }
}

ControlWorkMeter::Span::Span(ControlWorkMeter& meter, ControlWork work)
    : m_meter(meter)
    , m_work(work)
    , m_start(std::chrono::steady_clock::now())
{
}

ControlWorkMeter::Span::~Span()
{
    m_meter.add(
        m_work, std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_start));
}

} // namespace yuccahook::control
