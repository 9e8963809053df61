#include "observe/Histogram.h"

#include <doctest/doctest.h>

using namespace yuccahook;

TEST_CASE("A histogram counts a duration in every bucket whose bound it does not exceed")
{
    observe::Counters counters;
    observe::Histogram histogram(counters, "wait_millis");
    histogram.add(0);
    histogram.add(3);
    histogram.add(100'000);
    const auto values = counters.values();
    CHECK(values.at("wait_millis_bucket{le=\"1\"}") == 1);
    CHECK(values.at("wait_millis_bucket{le=\"2\"}") == 1);
    CHECK(values.at("wait_millis_bucket{le=\"4\"}") == 2);
    CHECK(values.at("wait_millis_bucket{le=\"4096\"}") == 2);
    CHECK(values.at("wait_millis_bucket{le=\"+Inf\"}") == 3);
    CHECK(values.at("wait_millis_sum") == 100'003);
    CHECK(values.at("wait_millis_count") == 3);
}
