#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccahook::flow {

/// What an agent reports of its backend server.
struct ServiceFigure {
    std::uint32_t member = 0;
    std::uint32_t service = 0;
    std::uint16_t serviceMillis = 0; ///< See AgentLoad; 0 if not known.
    std::uint64_t reportedMillis = 0;
};

/// Judges which backend servers are much slower than the others of their service, or fail requests. Each instance
/// judges for itself and places only its own new flows by it, so a wrong judgement spreads no further. Has no clock.
class OutlierDetector {
public:
    /// A judgement and its figure end when the agent's reports have stopped for this long.
    static constexpr std::uint64_t reportTimeoutMillis = 1600;
    /// A server becomes an outlier at this multiple of its service's median: 5 standard deviations of the figure.
    static constexpr double outlierRatio = 2.0;
    /// It remains one until its figure is below this multiple, so that it does not alternate at the limit.
    static constexpr double normalRatio = 1.5;
    /// And only if it is slower than the median by this much, as figures are whole ms.
    static constexpr std::uint16_t minimumDifferenceMillis = 5;
    /// One in this many of the known agents of a service may be an outlier, so none of fewer.
    static constexpr std::size_t agentsPerOutlier = 3;

    /// Judges by the last reports of the agents.
    void judge(const std::vector<ServiceFigure>& figures, std::uint64_t nowMillis);

    bool isOutlier(std::uint32_t member, std::uint64_t nowMillis) const;

    /// Median of the service's figures; nothing if fewer than `agentsPerOutlier` are known.
    std::optional<std::uint16_t> medianMillis(std::uint32_t service) const;

    /// Number of the service's agents with a known figure.
    std::size_t knownAgents(std::uint32_t service) const;

    /// Number of judgements that are in force.
    std::size_t outliers() const { return m_outliers.size(); }

private:
    struct Service {
        std::uint16_t medianMillis = 0;
        std::size_t knownAgents = 0;
    };

    std::map<std::uint32_t, Service> m_services;
    std::map<std::uint32_t, std::uint64_t> m_outliers; // time of the last report, by member
};

} // namespace yuccahook::flow
