#pragma once

#include "flow/BackendReport.h"

#include <cstdint>
#include <optional>

namespace yuccahook::flow {

/// How a report was taken.
enum class ReportStatus { Renewed, NewIncarnation, Stale };

/// The backend server beside an agent, as its reports describe it.
class Backend {
public:
    ReportStatus take(const BackendReport& report, std::uint64_t nowMillis);

    /// It says that it is gone; false when another incarnation is here.
    bool leave(const std::string& id, std::uint64_t startedMillis);

    const std::optional<BackendReport>& report() const { return m_report; }
    std::uint64_t heardMillis() const { return m_heardMillis; }

    /// Counts the incarnations seen; 0 before the first.
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Whether it ran before the first report came, so that it may hold flows not seen here.
    bool isOlderThanAgent() const { return m_isOlderThanAgent; }

private:
    bool isNewer(const BackendReport& report, std::uint64_t nowMillis);

    std::optional<BackendReport> m_report;
    std::optional<BackendReport> m_rival; // of another incarnation that seems older
    std::uint64_t m_rivalSinceMillis = 0;
    std::uint64_t m_heardMillis = 0;
    std::uint64_t m_incarnation = 0;
    bool m_isOlderThanAgent = false;
};

} // namespace yuccahook::flow
