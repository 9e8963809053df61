#pragma once

#include "flow/RequestClass.h"

#include <cstdint>
#include <map>

namespace yuccahook::flow {

/// Slot time that a request needs, in milliseconds.
struct Work {
    double meanMillis = 1;
    double deviationMillis = 0; ///< Standard deviation.
};

/// Measures the work of the requests of each class at one backend server.
class WorkEstimate {
public:
    static constexpr std::size_t maximumClasses = 64; ///< Further ones get the estimate over all classes.

    void record(const RequestClass& kind, double millis);

    /// The work of a class; with too few samples that of all classes, else a share of the latency goal.
    Work of(const RequestClass& kind) const;

    /// The work over all classes; with too few samples a share of the latency goal of `kind`.
    Work ofAny(const RequestClass& kind) const;

private:
    struct Samples {
        std::uint32_t count = 0;
        double mean = 0;
        double variance = 0;

        void add(double millis);
        Work work() const;
    };

    std::map<RequestClass, Samples> m_classes;
    Samples m_all;
};

} // namespace yuccahook::flow
