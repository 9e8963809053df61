#include "request/ServiceTimeEstimate.h"

#include <doctest/doctest.h>

using namespace yuccahook::request;
using namespace std::chrono_literals;

TEST_CASE("Requests that differ in numbers or query share an estimate")
{
    CHECK(ServiceTimeEstimate::classOf("GET", "/orders/17?full=1") == "GET /orders/*");
    CHECK(ServiceTimeEstimate::classOf("GET", "/orders/a18/rows") == "GET /orders/*/rows");
    CHECK(ServiceTimeEstimate::classOf("POST", "/orders") != ServiceTimeEstimate::classOf("GET", "/orders"));
    CHECK(ServiceTimeEstimate::classOf("GET", "/") == "GET /");
}

TEST_CASE("An estimate follows its samples and hardly moves for single outliers")
{
    ServiceTimeEstimate estimate(50ms);
    CHECK(estimate.expected("GET /status") > 49ms);
    CHECK(estimate.expected("GET /status") < 51ms);
    for (int count = 0; count < 100; ++count)
        estimate.observe("GET /status", 10ms);
    CHECK(estimate.expected("GET /status") < 11ms);
    CHECK(estimate.expected("GET /other") > 49ms);

    SUBCASE("One outlier hardly moves it")
    {
        estimate.observe("GET /status", 10s);
        CHECK(estimate.expected("GET /status") < 12ms);
        CHECK(estimate.median() < 15ms);
    }
    SUBCASE("A lasting change moves it")
    {
        for (int count = 0; count < 1'000; ++count)
            estimate.observe("GET /status", 100ms);
        CHECK(estimate.expected("GET /status") > 80ms);
        CHECK(estimate.median() > 50ms);
    }
}
