#pragma once

#include "request/Admission.h"

#include <cstdint>

namespace yuccahook::request {

/// How many requests may run at once: the announced slots, fewer during slow start, and fewer while the backend
/// server answers much slower than it used to at full concurrency, or sheds.
class ConcurrencyLimit {
public:
    ConcurrencyLimit(AdmissionTime slowStart, bool learns);

    void configure(AdmissionTime slowStart, bool learns);

    /// Begins slow start when the backend server was unknown before.
    void setSlots(std::uint32_t slots, AdmissionTime now);

    /// An attempt that took `duration` where `expected` was usual, with `running` at once.
    void observe(AdmissionTime duration, AdmissionTime expected, std::uint32_t running);

    /// The backend server turned an attempt away.
    void shed(std::uint32_t running);

    std::uint32_t at(AdmissionTime now) const;
    std::uint32_t slots() const { return m_slots; }

    /// When slow start next opens a slot; max when all are open.
    AdmissionTime nextOpening(AdmissionTime now) const;

private:
    void endSample(std::uint32_t running);

    AdmissionTime m_slowStart;
    bool m_learns;
    std::uint32_t m_slots = 0;
    AdmissionTime m_started {};
    double m_limit = 0;
    double m_windowSum = 0; // of logarithms of duration over expected
    std::uint32_t m_windowSamples = 0;
    std::uint32_t m_windowSheds = 0;
};

} // namespace yuccahook::request
