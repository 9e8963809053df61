#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace yuccahook::bench {

/// One measurement: a figure at a size.
struct SizedFigure {
    double size = 0;
    double value = 0;
};

/// A straight line through measurements by least squares.
struct LinearFit {
    double slope = 0;
    double intercept = 0;
    double residual = 0; ///< Largest distance from the line, as a share of the largest value.
};

inline LinearFit fitLine(const std::vector<SizedFigure>& figures)
{
    double sizes = 0;
    double values = 0;
    for (const auto& figure : figures) {
        sizes += figure.size / figures.size();
        values += figure.value / figures.size();
    }
    double covariance = 0;
    double variance = 0;
    double largest = 0;
    for (const auto& figure : figures) {
        covariance += (figure.size - sizes) * (figure.value - values);
        variance += (figure.size - sizes) * (figure.size - sizes);
        largest = std::max(largest, std::abs(figure.value));
    }
    LinearFit fit;
    fit.slope = variance > 0 ? covariance / variance : 0;
    fit.intercept = values - fit.slope * sizes;
    for (const auto& figure : figures) {
        const double distance = std::abs(figure.value - fit.intercept - fit.slope * figure.size);
        fit.residual = std::max(fit.residual, largest > 0 ? distance / largest : 0);
    }
    return fit;
}

} // namespace yuccahook::bench
