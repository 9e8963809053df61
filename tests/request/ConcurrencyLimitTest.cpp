#include "request/ConcurrencyLimit.h"
#include "request/RetryBudget.h"

#include <doctest/doctest.h>

using namespace yuccahook::request;
using namespace std::chrono_literals;

TEST_CASE("The limit falls while the backend server is overloaded, and rises again")
{
    ConcurrencyLimit limit(0s, true);
    limit.setSlots(7, 0s);
    CHECK(limit.limitAt(0s) == 7);

    SUBCASE("The backend server answers much more slowly than expected")
    {
        for (int count = 0; count < 100; ++count)
            limit.observe(100ms, 10ms, 7);
        CHECK(limit.limitAt(0s) < 5);
        CHECK(limit.limitAt(0s) >= 1);
        for (int count = 0; count < 400; ++count)
            limit.observe(10ms, 10ms, 7);
        CHECK(limit.limitAt(0s) == 7);
    }
    SUBCASE("The backend server sheds most requests")
    {
        for (int count = 0; count < 1'000; ++count)
            limit.observeShed(7);
        CHECK(limit.limitAt(0s) == 1);
    }
    SUBCASE("A few shed requests do not lower the limit")
    {
        for (int count = 0; count < 1'000; ++count) {
            limit.observe(10ms, 10ms, 7);
            if (count % 10 == 0)
                limit.observeShed(7);
        }
        CHECK(limit.limitAt(0s) == 7);
    }
}

TEST_CASE("A retry budget allows a burst and then a share of the requests")
{
    RetryBudget budget(0.1, 3);
    CHECK(budget.tryConsume());
    CHECK(budget.tryConsume());
    CHECK(budget.tryConsume());
    CHECK_FALSE(budget.tryConsume());
    int taken = 0;
    for (int count = 0; count < 1'000; ++count) {
        budget.earn();
        taken += budget.tryConsume() ? 1 : 0;
    }
    CHECK(taken >= 99);
    CHECK(taken <= 101);
}
