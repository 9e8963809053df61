#pragma once

#include "request/Admission.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace yuccahook::request {

/// Estimates service times by request class, that is by method and path. Path segments with a digit are replaced by a
/// wildcard, so that `/orders/17` and `/orders/18` share an estimate. Averages are taken of logarithms, so that single
/// outliers do not move an estimate far.
class ServiceTimeEstimate {
public:
    /// `prior` is the estimate for classes without samples.
    explicit ServiceTimeEstimate(AdmissionTime prior);

    /// The class of a request: requests of one class share an estimate. The query of the path is ignored.
    static std::string classOf(std::string_view method, std::string_view path);

    /// Adds a sample. Beyond 1024 classes, new classes are not learned.
    void observe(const std::string& requestClass, AdmissionTime duration);

    /// The mean duration; the prior for a class without samples.
    AdmissionTime expected(const std::string& requestClass) const;

    /// The duration that about 1 in 20 requests of the class exceeds.
    AdmissionTime percentile95(const std::string& requestClass) const;

    /// The median duration of all requests.
    AdmissionTime median() const;

private:
    struct ClassStatistics {
        double meanLog = 0;
        double varianceLog = 0;
        std::uint64_t samples = 0;
    };

    const ClassStatistics& statisticsOf(const std::string& requestClass) const;

    ClassStatistics m_prior;
    double m_medianLog;
    std::uint64_t m_samples = 0;
    std::unordered_map<std::string, ClassStatistics> m_classes;
};

} // namespace yuccahook::request
