#pragma once

#include <algorithm>
#include <vector>

namespace yuccahook::flow {

/// Applies changes to values that are sorted by key: replaces or inserts each of `changed`, of which the last one with
/// a key counts, then erases those whose key is in `removed`.
template <typename Value, typename Key, typename KeyOf>
void mergeSorted(
    std::vector<Value>& values, const std::vector<Value>& changed, const std::vector<Key>& removed, KeyOf keyOf)
{
    const auto isBefore = [keyOf](const Value& value, const Key& key) { return keyOf(value) < key; };
    for (const Value& value : changed) {
        const auto place = std::lower_bound(values.begin(), values.end(), keyOf(value), isBefore);
        if (place != values.end() && !(keyOf(value) < keyOf(*place)))
            *place = value;
        else
            values.insert(place, value);
    }
    for (const Key& key : removed) {
        const auto place = std::lower_bound(values.begin(), values.end(), key, isBefore);
        if (place != values.end() && !(key < keyOf(*place)))
            values.erase(place);
    }
}

/// The keys of `values` that none of `others` has.
template <typename Key, typename Value, typename KeyOf>
std::vector<Key> missingKeys(const std::vector<Value>& values, const std::vector<Value>& others, KeyOf keyOf)
{
    std::vector<Key> missing;
    for (const Value& value : values) {
        const Key& key = keyOf(value);
        const bool isPresent = std::any_of(others.begin(), others.end(),
            [&key, keyOf](const Value& other) { return !(key < keyOf(other)) && !(keyOf(other) < key); });
        if (!isPresent)
            missing.push_back(key);
    }
    return missing;
}

} // namespace yuccahook::flow
