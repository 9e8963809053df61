#include "LinearFit.h"

#include <doctest/doctest.h>

using yuccahook::bench::fitLine;

TEST_CASE("A line is fitted through measurements")
{
    SUBCASE("points on a line give its slope, its intercept and no residual")
    {
        const auto fit = fitLine({ { 1, 13 }, { 2, 16 }, { 10, 40 } });
        CHECK(fit.slope == doctest::Approx(3));
        CHECK(fit.intercept == doctest::Approx(10));
        CHECK(fit.residual == doctest::Approx(0));
    }
    SUBCASE("a point off the line gives a residual relative to the largest value")
    {
        const auto fit = fitLine({ { 0, 0 }, { 1, 5 }, { 2, 10 }, { 3, 30 } });
        CHECK(fit.residual > 0.1);
        CHECK(fit.residual < 0.3);
    }
    SUBCASE("measurements of a single size have slope 0") { CHECK(fitLine({ { 4, 8 }, { 4, 10 } }).slope == 0); }
}
