#include "flow/FlowTable.h"
#include "flow/HintCache.h"

#include <doctest/doctest.h>
#include <random>
#include <unordered_map>

using namespace yuccahook;

TEST_CASE("A flow table has the same entries as a standard map after random changes")
{
    constexpr int steps = 60'000;
    constexpr std::uint64_t keys = 3'000; // few, so that probe chains form, shrink and grow again
    std::mt19937_64 random(7);
    flow::FlowTable<int> table;
    std::unordered_map<flow::FlowKey, int> reference;
    bool same = true;
    for (int step = 0; step < steps; ++step) {
        const flow::FlowKey key { { 0, random() % keys, 9 }, 1 };
        if (random() % 2 == 0) {
            table.insertOrAssign(key, step);
            reference.insert_or_assign(key, step);
        } else {
            table.erase(key);
            reference.erase(key);
        }
        same = same && table.size() == reference.size();
    }
    CHECK(same);

    SUBCASE("it finds each key with its value")
    {
        for (std::uint64_t low = 0; low < keys; ++low) {
            const flow::FlowKey key { { 0, low, 9 }, 1 };
            const int* found = table.find(key);
            const auto expected = reference.find(key);
            REQUIRE((found != nullptr) == (expected != reference.end()));
            if (found)
                REQUIRE(*found == expected->second);
        }
    }

    SUBCASE("it visits each entry once")
    {
        table.forEach([&](const flow::FlowKey& key, int&) { CHECK(reference.erase(key) == 1); });
        CHECK(reference.empty());
    }
}

TEST_CASE("A hint cache is bounded and never returns the holder of another flow")
{
    flow::HintCache hints(8);
    for (std::uint64_t low = 1; low <= 100; ++low)
        hints.learn({ { 0, low, 1 }, 1 }, static_cast<std::uint32_t>(low));
    std::size_t known = 0;
    for (std::uint64_t low = 1; low <= 100; ++low) {
        const std::uint32_t holder = hints.holderOf({ { 0, low, 1 }, 1 });
        CHECK((holder == 0 || holder == low));
        known += holder != 0 ? 1 : 0;
    }
    CHECK(known <= 8);
    CHECK(known > 0);

    SUBCASE("an entry can be removed")
    {
        const flow::FlowKey key { { 0, 100, 1 }, 1 };
        CHECK(hints.holderOf(key) == 100);
        hints.forget(key);
        CHECK(hints.holderOf(key) == 0);
    }
}
