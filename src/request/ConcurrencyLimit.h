#pragma once

#include "request/Admission.h"

#include <cstdint>

namespace yuccahook::request {

/// How many requests may run at once: the announced slots, fewer during slow start, and fewer while the backend
/// server answers much more slowly than expected or sheds load.
class ConcurrencyLimit {
public:
    ConcurrencyLimit(AdmissionTime slowStart, bool learnLimit);

    void configure(AdmissionTime slowStart, bool learnLimit);

    /// Sets the announced slots; begins slow start when the number was 0 before.
    void setSlots(std::uint32_t slots, AdmissionTime now);

    /// Records an answered attempt that took `duration` when `expected` was estimated, with `running` attempts in
    /// progress.
    void observe(AdmissionTime duration, AdmissionTime expected, std::uint32_t running);

    /// Records an attempt that the backend server refused, with `running` attempts in progress.
    void observeShed(std::uint32_t running);

    /// The number of requests that may run at `now`.
    std::uint32_t limitAt(AdmissionTime now) const;
    std::uint32_t slots() const { return m_slots; }

    /// When slow start next opens a slot; AdmissionTime::max() when all are open.
    AdmissionTime nextOpening(AdmissionTime now) const;

private:
    void addSample(std::uint32_t running);

    AdmissionTime m_slowStart;
    bool m_learnLimit;
    std::uint32_t m_slots = 0;
    AdmissionTime m_started {};
    double m_limit = 0;
    double m_windowSum = 0; // of logarithms of duration over expected
    std::uint32_t m_windowSamples = 0;
    std::uint32_t m_windowSheds = 0;
};

} // namespace yuccahook::request
