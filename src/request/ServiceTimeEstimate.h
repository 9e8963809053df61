#pragma once

#include "request/Admission.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace yuccahook::request {

/// Learns how long requests run, by method and path. Path segments that hold a digit count as one, so that
/// `/orders/17` teaches about `/orders/18`. Logarithmic averages keep single stragglers from moving an estimate far.
class ServiceTimeEstimate {
public:
    explicit ServiceTimeEstimate(AdmissionTime prior);

    /// The name under which requests share an estimate.
    static std::string classOf(std::string_view method, std::string_view path);

    void observe(const std::string& requestClass, AdmissionTime duration);

    /// The mean duration; the prior for a class that has not been seen.
    AdmissionTime expected(const std::string& requestClass) const;

    /// A duration that about 1 in 20 requests of the class exceeds.
    AdmissionTime slow(const std::string& requestClass) const;

    /// Half of the requests take less.
    AdmissionTime median() const;

private:
    struct Learned {
        double meanLog = 0;
        double varianceLog = 0;
        std::uint64_t samples = 0;
    };

    const Learned& known(const std::string& requestClass) const;

    Learned m_prior;
    double m_medianLog;
    std::uint64_t m_samples = 0;
    std::unordered_map<std::string, Learned> m_classes;
};

} // namespace yuccahook::request
