#include "flow/Backend.h"

namespace yuccahook::flow {

namespace {

constexpr std::uint64_t newlyStartedSequence = 2; // a report or two may be lost before the first that comes

bool isSame(const BackendReport& report, const BackendReport& other)
{
    return report.id == other.id && report.startedMillis == other.startedMillis;
}

} // namespace

// An incarnation with an earlier start may be a late report, or a clock that stepped back. It is believed once it
// goes on while the other has fallen silent.
bool Backend::isNewer(const BackendReport& report, std::uint64_t nowMillis)
{
    if (!m_report || report.startedMillis > m_report->startedMillis)
        return true;
    const bool goesOn = m_rival && isSame(*m_rival, report) && report.sequence > m_rival->sequence
        && m_heardMillis < m_rivalSinceMillis;
    if (!m_rival || !isSame(*m_rival, report))
        m_rivalSinceMillis = nowMillis;
    m_rival = report;
    return goesOn;
}

ReportStatus Backend::take(const BackendReport& report, std::uint64_t nowMillis)
{
    if (m_report && isSame(*m_report, report)) {
        if (report.sequence <= m_report->sequence)
            return ReportStatus::Stale;
        m_report = report;
        m_heardMillis = nowMillis;
        return ReportStatus::Renewed;
    }
    if (!isNewer(report, nowMillis))
        return ReportStatus::Stale;
    m_isOlderThanAgent = m_incarnation == 0 && report.sequence > newlyStartedSequence;
    m_report = report;
    m_rival.reset();
    m_heardMillis = nowMillis;
    ++m_incarnation;
    return ReportStatus::NewIncarnation;
}

bool Backend::leave(const std::string& id, std::uint64_t startedMillis)
{
    if (!m_report || m_report->id != id || (startedMillis != 0 && startedMillis != m_report->startedMillis))
        return false;
    m_report->draining = true;
    m_heardMillis = 0;
    return true;
}

} // namespace yuccahook::flow
