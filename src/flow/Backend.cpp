#include "flow/Backend.h"

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t firstSequence = 1; // a backend server that has reported before may have taken flows

bool isSameIncarnation(const BackendReport& report, const BackendReport& other)
{
    return report.id == other.id && report.startedMillis == other.startedMillis;
}

} // namespace

// A report with an earlier start time is either late, or the backend server's clock has stepped back. The other
// incarnation is accepted once it reports again and the current one has not reported since the other's first report.
bool Backend::supersedes(const BackendReport& report, std::uint64_t nowMillis)
{
    if (!m_report || report.startedMillis > m_report->startedMillis)
        return true;
    const bool continues = m_candidate && isSameIncarnation(*m_candidate, report)
        && report.sequence > m_candidate->sequence && m_lastReportMillis < m_candidateSinceMillis;
    if (!m_candidate || !isSameIncarnation(*m_candidate, report))
        m_candidateSinceMillis = nowMillis;
    m_candidate = report;
    return continues;
}

bool Backend::isCurrent(const BackendReport& report) const
{
    return m_report && isSameIncarnation(*m_report, report) && m_report->service == report.service;
}

ReportStatus Backend::update(const BackendReport& report, std::uint64_t nowMillis)
{
    if (m_report && isSameIncarnation(*m_report, report)) {
        if (report.sequence <= m_report->sequence)
            return ReportStatus::Stale;
        m_report = report;
        m_lastReportMillis = nowMillis;
        return ReportStatus::Renewed;
    }
    if (!supersedes(report, nowMillis))
        return ReportStatus::Stale;
    m_mayBeOlderThanAgent = m_incarnation == 0 && report.sequence > firstSequence;
    m_report = report;
    m_candidate.reset();
    m_lastReportMillis = nowMillis;
    ++m_incarnation;
    return ReportStatus::NewIncarnation;
}

bool Backend::markDeparted(const std::string& id, std::uint64_t startedMillis)
{
    if (!m_report || m_report->id != id || (startedMillis != 0 && startedMillis != m_report->startedMillis))
        return false;
    m_report->draining = true;
    m_lastReportMillis = 0;
    return true;
}

} // namespace yuccahook::flow
