#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace yuccahook::bench {

/// A value measured at a size.
struct Measurement {
    double size = 0;
    double value = 0;
};

/// A straight line fitted to measurements by least squares.
struct LinearFit {
    double slope = 0;
    double intercept = 0;
    double residual = 0; ///< Largest distance from the line, as a share of the largest value.
};

/// Without two different sizes, the slope is 0.
inline LinearFit fitLine(const std::vector<Measurement>& measurements)
{
    double meanSize = 0;
    double meanValue = 0;
    for (const auto& measurement : measurements) {
        meanSize += measurement.size / measurements.size();
        meanValue += measurement.value / measurements.size();
    }
    double covariance = 0;
    double variance = 0;
    double largest = 0;
    for (const auto& measurement : measurements) {
        covariance += (measurement.size - meanSize) * (measurement.value - meanValue);
        variance += (measurement.size - meanSize) * (measurement.size - meanSize);
        largest = std::max(largest, std::abs(measurement.value));
    }
    LinearFit fit;
    fit.slope = variance > 0 ? covariance / variance : 0;
    fit.intercept = meanValue - fit.slope * meanSize;
    for (const auto& measurement : measurements) {
        const double distance = std::abs(measurement.value - fit.intercept - fit.slope * measurement.size);
        fit.residual = std::max(fit.residual, largest > 0 ? distance / largest : 0);
    }
    return fit;
}

} // namespace yuccahook::bench
