#include "request/ServiceTimeEstimate.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace yuccahook::request {

namespace {

constexpr std::size_t maximumClasses = 1024;
constexpr double minimumSampleWeight = 0.02; // lower bound of the weight of a new sample
constexpr double medianStep = 0.05; // of the logarithm, per sample
constexpr double percentile95Deviations = 1.645; // the 95th percentile of a normal distribution
constexpr double maximumDeviations = 3; // samples further out are clamped to this distance

AdmissionTime fromLog(double value) { return AdmissionTime(static_cast<AdmissionTime::rep>(std::exp(value))); }

double toLog(AdmissionTime time) { return std::log(std::max<double>(1, static_cast<double>(time.count()))); }

bool containsDigit(std::string_view segment)
{
    return std::any_of(segment.begin(), segment.end(), [](unsigned char letter) { return std::isdigit(letter); });
}

} // namespace

ServiceTimeEstimate::ServiceTimeEstimate(AdmissionTime prior)
    : m_prior { toLog(prior), 0, 0 }
    , m_medianLog(toLog(prior))
{
}

std::string ServiceTimeEstimate::classOf(std::string_view method, std::string_view path)
{
    path = path.substr(0, path.find_first_of("?#"));
    std::string name(method);
    name += ' ';
    while (!path.empty()) {
        const auto end = path.find('/', 1);
        const auto segment = path.substr(0, end);
        name += containsDigit(segment) ? "/*" : segment;
        path.remove_prefix(segment.size());
    }
    return name;
}

void ServiceTimeEstimate::observe(const std::string& requestClass, AdmissionTime duration)
{
    const double sample = toLog(duration);
    m_medianLog = m_samples++ == 0 ? sample : m_medianLog + (sample > m_medianLog ? medianStep : -medianStep);
    if (m_classes.size() >= maximumClasses && !m_classes.contains(requestClass))
        return;
    auto& learned = m_classes[requestClass];
    if (learned.samples++ == 0) {
        learned.meanLog = sample;
        return;
    }
    const double rate = std::max(minimumSampleWeight, 1.0 / static_cast<double>(learned.samples));
    double distance = sample - learned.meanLog;
    if (learned.samples > 1 / minimumSampleWeight) {
        const double bound = maximumDeviations * std::sqrt(learned.varianceLog) + medianStep;
        distance = std::clamp(distance, -bound, bound);
    }
    learned.meanLog += rate * distance;
    learned.varianceLog += rate * (distance * distance - learned.varianceLog);
}

const ServiceTimeEstimate::ClassStatistics& ServiceTimeEstimate::statisticsOf(const std::string& requestClass) const
{
    const auto found = m_classes.find(requestClass);
    return found != m_classes.end() ? found->second : m_prior;
}

AdmissionTime ServiceTimeEstimate::expected(const std::string& requestClass) const
{
    const auto& learned = statisticsOf(requestClass);
    return fromLog(learned.meanLog + learned.varianceLog / 2); // the mean of a log-normal distribution
}

AdmissionTime ServiceTimeEstimate::percentile95(const std::string& requestClass) const
{
    const auto& learned = statisticsOf(requestClass);
    return fromLog(learned.meanLog + percentile95Deviations * std::sqrt(learned.varianceLog));
}

AdmissionTime ServiceTimeEstimate::median() const { return fromLog(m_medianLog); }

} // namespace yuccahook::request
