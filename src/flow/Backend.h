#pragma once

#include "flow/BackendReport.h"
#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace yuccahook::flow {

/// What a report did: it renewed the current incarnation, started a new one, or was ignored, because it is outdated or
/// names no backend server that this agent may serve.
enum class ReportStatus { Renewed, NewIncarnation, Stale, UnknownService, OtherAddress };

/// The backend server of an agent as its reports describe it. Tells its incarnations apart.
class Backend {
public:
    /// Applies a report that arrived at `nowMillis`.
    ReportStatus update(const BackendReport& report, std::uint64_t nowMillis);

    /// Handles a departure: marks the backend server as draining and its last report as overdue. Returns false if
    /// another incarnation is known. A `startedMillis` of 0 matches any incarnation with that id.
    bool markDeparted(const std::string& id, std::uint64_t startedMillis);

    /// Whether a report is of the current incarnation and its service.
    bool isCurrent(const BackendReport& report) const;

    /// Forgets the first incarnation, which turned out to be none that this agent may serve.
    void withdraw() { *this = Backend(); }

    const std::optional<BackendReport>& report() const { return m_report; }

    /// When the last report arrived; 0 before the first and after a departure.
    std::uint64_t lastReportMillis() const { return m_lastReportMillis; }

    /// Number of incarnations seen so far, 0 before the first report. Identifies the current one.
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Whether it may have run before this agent, so that it may hold flows that the agent does not know.
    bool mayBeOlderThanAgent() const { return m_mayBeOlderThanAgent; }

private:
    bool supersedes(const BackendReport& report, std::uint64_t nowMillis);

    std::optional<BackendReport> m_report;
    std::optional<BackendReport> m_candidate; // last report of another incarnation that seems older
    std::uint64_t m_candidateSinceMillis = 0;
    std::uint64_t m_lastReportMillis = 0;
    std::uint64_t m_incarnation = 0;
    bool m_mayBeOlderThanAgent = false;
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::ReportStatus> {
    static constexpr std::array<std::string_view, 5> names { "renewed", "new-incarnation", "stale", "unknown-service",
        "other-address" };
};
