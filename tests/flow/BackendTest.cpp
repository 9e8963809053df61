#include "flow/Backend.h"

#include <doctest/doctest.h>

using namespace yuccahook::flow;

namespace {

BackendReport reportOf(const std::string& id, std::uint64_t started, std::uint64_t sequence)
{
    BackendReport report;
    report.id = id;
    report.startedMillis = started;
    report.sequence = sequence;
    report.service = "listings";
    return report;
}

} // namespace

TEST_CASE("A backend server is known by its incarnation")
{
    Backend backend;
    REQUIRE(backend.take(reportOf("a", 100, 1), 1000) == ReportStatus::NewIncarnation);
    CHECK(backend.incarnation() == 1);
    CHECK_FALSE(backend.isOlderThanAgent());

    SUBCASE("later reports renew it, late ones change nothing")
    {
        CHECK(backend.take(reportOf("a", 100, 3), 2000) == ReportStatus::Renewed);
        CHECK(backend.take(reportOf("a", 100, 2), 3000) == ReportStatus::Stale);
        CHECK(backend.heardMillis() == 2000);
    }

    SUBCASE("a later start under the same id is another incarnation whose count starts anew")
    {
        CHECK(backend.take(reportOf("a", 200, 1), 2000) == ReportStatus::NewIncarnation);
        CHECK(backend.incarnation() == 2);
        CHECK(backend.take(reportOf("a", 100, 9), 2500) == ReportStatus::Stale);
    }

    SUBCASE("an earlier start is a late report while the present one goes on")
    {
        CHECK(backend.take(reportOf("b", 50, 8), 1500) == ReportStatus::Stale);
        CHECK(backend.take(reportOf("a", 100, 2), 2000) == ReportStatus::Renewed);
        CHECK(backend.take(reportOf("b", 50, 9), 2500) == ReportStatus::Stale);
        CHECK(backend.report()->id == "a");
    }

    SUBCASE("an earlier start is believed once it alone goes on, as after a clock that stepped back")
    {
        CHECK(backend.take(reportOf("b", 50, 1), 3000) == ReportStatus::Stale);
        CHECK(backend.take(reportOf("b", 50, 2), 4200) == ReportStatus::NewIncarnation);
        CHECK(backend.report()->id == "b");
    }

    SUBCASE("a farewell counts for its own incarnation only")
    {
        CHECK_FALSE(backend.leave("b", 0));
        CHECK_FALSE(backend.leave("a", 99));
        CHECK(backend.leave("a", 100));
        CHECK(backend.report()->draining);
    }

    SUBCASE("one that has reported before the agent started may hold flows that it does not know")
    {
        Backend other;
        other.take(reportOf("c", 10, 40), 1000);
        CHECK(other.isOlderThanAgent());
    }
}
