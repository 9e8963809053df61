#include "flow/OutlierDetector.h"

#include <algorithm>
#include <utility>

namespace yuccahook::flow {

void OutlierDetector::judge(const std::vector<ServiceFigure>& figures, std::uint64_t nowMillis)
{
    std::map<std::uint32_t, std::vector<ServiceFigure>> byService;
    for (const auto& figure : figures) {
        if (figure.serviceMillis != 0 && nowMillis - figure.reportedMillis <= reportTimeoutMillis)
            byService[figure.service].push_back(figure);
    }
    const auto before = std::exchange(m_outliers, {});
    m_services.clear();
    for (auto& [service, known] : byService) {
        // The slowest first; of two that are equally slow, the same one at every instance.
        std::sort(known.begin(), known.end(), [](const ServiceFigure& one, const ServiceFigure& other) {
            return std::pair(other.serviceMillis, one.member) < std::pair(one.serviceMillis, other.member);
        });
        const std::uint16_t medianMillis = known[known.size() / 2].serviceMillis;
        m_services[service] = { medianMillis, known.size() };
        for (std::size_t index = 0; index < known.size() / agentsPerOutlier; ++index) {
            const auto& figure = known[index];
            const double ratio = before.contains(figure.member) ? normalRatio : outlierRatio;
            const bool isSlow = figure.serviceMillis >= ratio * medianMillis
                && figure.serviceMillis - medianMillis >= minimumDifferenceMillis;
            if (isSlow)
                m_outliers[figure.member] = figure.reportedMillis;
        }
    }
}

bool OutlierDetector::isOutlier(std::uint32_t member, std::uint64_t nowMillis) const
{
    const auto found = m_outliers.find(member);
    return found != m_outliers.end() && nowMillis - found->second <= reportTimeoutMillis;
}

std::optional<std::uint16_t> OutlierDetector::medianMillis(std::uint32_t service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.knownAgents < agentsPerOutlier)
        return std::nullopt;
    return found->second.medianMillis;
}

std::size_t OutlierDetector::knownAgents(std::uint32_t service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() ? found->second.knownAgents : 0;
}

} // namespace yuccahook::flow
