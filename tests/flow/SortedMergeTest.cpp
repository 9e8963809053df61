#include "flow/SortedMerge.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <utility>

namespace yuccahook::flow {

namespace {

/// Counts its comparisons.
struct Key {
    int number = 0;
    static inline std::size_t comparisons = 0;

    bool operator<(const Key& other) const
    {
        ++comparisons;
        return number < other.number;
    }
    bool operator==(const Key& other) const = default;
};

/// Counts how often it is copied or moved.
struct Value {
    Key key;
    int content = 0;
    static inline std::size_t transfers = 0;

    Value(int number, int contentAtFirst)
        : key { number }
        , content(contentAtFirst)
    {
    }
    Value(const Value& other)
        : key(other.key)
        , content(other.content)
    {
        ++transfers;
    }
    Value(Value&& other) noexcept
        : key(other.key)
        , content(other.content)
    {
        ++transfers;
    }
    Value& operator=(const Value& other)
    {
        ++transfers;
        key = other.key;
        content = other.content;
        return *this;
    }
    Value& operator=(Value&& other) noexcept
    {
        ++transfers;
        key = other.key;
        content = other.content;
        return *this;
    }
    ~Value() = default;
};

const Key& keyOf(const Value& value) { return value.key; }

std::vector<Value> valuesFrom(int first, int count, int step)
{
    std::vector<Value> values;
    values.reserve(count);
    for (int index = 0; index < count; ++index)
        values.emplace_back(first + index * step, 0);
    return values;
}

std::vector<Key> keysOf(const std::vector<Value>& values)
{
    std::vector<Key> keys;
    keys.reserve(values.size());
    for (const auto& value : values)
        keys.push_back(value.key);
    return keys;
}

/// Comparisons and transfers of `work`.
template <typename Work> std::size_t stepsOf(Work work)
{
    Key::comparisons = 0;
    Value::transfers = 0;
    work();
    return Key::comparisons + Value::transfers;
}

constexpr int fewRoutes = 1'000;
constexpr int manyRoutes = 16'000;
// Sorting may add a logarithmic factor, here 14 / 10.
constexpr std::size_t allowedGrowth = 2 * manyRoutes / fewRoutes;

} // namespace

// Guards against a change of the route table that holds up heartbeats because its work grows with the square of the
// number of routes.
TEST_CASE("The work for a change of the route table is in proportion to the number of routes")
{
    const auto growth = [](auto stepsFor) { return stepsFor(manyRoutes) / stepsFor(fewRoutes); };

    SUBCASE("when nearly all of them are removed")
    {
        CHECK(growth([](int count) {
            auto values = valuesFrom(0, count, 1);
            const auto removed = keysOf(valuesFrom(0, count - 2, 1));
            return stepsOf([&] { mergeSorted(values, {}, removed, keyOf); });
        }) <= allowedGrowth);
    }
    SUBCASE("when as many are added between them")
    {
        CHECK(growth([](int count) {
            auto values = valuesFrom(0, count, 2);
            const auto added = valuesFrom(1, count, 2);
            return stepsOf([&] { mergeSorted(values, added, std::vector<Key> {}, keyOf); });
        }) <= allowedGrowth);
    }
    SUBCASE("when the new table is compared with the one in force")
    {
        CHECK(growth([](int count) {
            const auto inForce = valuesFrom(0, count, 1);
            const auto wanted = valuesFrom(count / 2, count, 1);
            return stepsOf([&] { CHECK(missingKeys<Key>(inForce, wanted, keyOf).size() == count / 2); });
        }) <= allowedGrowth);
    }
}

TEST_CASE("Merged changes give the same values as applied one by one")
{
    const bool isSame = rc::check("mergeSorted and missingKeys",
        [](const std::map<int, int>& before, const std::vector<std::pair<int, int>>& changes,
            const std::vector<int>& removedNumbers) {
            auto expected = before;
            std::vector<Value> values;
            values.reserve(before.size());
            for (const auto& [number, content] : before)
                values.emplace_back(number, content);
            const auto valuesBefore = values;
            std::vector<Value> changed;
            changed.reserve(changes.size());
            for (const auto& [number, content] : changes) {
                changed.emplace_back(number, content);
                expected[number] = content;
            }
            std::vector<Key> removed;
            for (const int number : removedNumbers) {
                removed.push_back({ number });
                expected.erase(number);
            }
            mergeSorted(values, changed, removed, keyOf);
            std::map<int, int> merged;
            for (const auto& value : values)
                merged[value.key.number] = value.content;
            RC_ASSERT(merged == expected);
            RC_ASSERT(values.size() == expected.size());
            std::vector<Key> missing;
            for (const auto& [number, content] : before) {
                if (!expected.contains(number))
                    missing.push_back({ number });
            }
            RC_ASSERT(missingKeys<Key>(valuesBefore, values, keyOf) == missing);
        });
    CHECK(isSame);
}

} // namespace yuccahook::flow
