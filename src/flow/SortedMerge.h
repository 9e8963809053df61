#pragma once

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace yuccahook::flow {

/// Applies changes to values that are sorted by key: replaces or inserts each of `changed`, of which the last one with
/// a key counts, then erases those whose key is in `removed`. Passes over the values once.
template <typename Value, typename Key, typename KeyOf>
void mergeSorted(std::vector<Value>& values, std::vector<Value> changed, std::vector<Key> removed, KeyOf keyOf)
{
    if (changed.empty() && removed.empty())
        return;
    const auto isBefore = [keyOf](const Value& one, const Value& other) { return keyOf(one) < keyOf(other); };
    if (!std::is_sorted(changed.begin(), changed.end(), isBefore))
        std::stable_sort(changed.begin(), changed.end(), isBefore);
    if (!std::is_sorted(removed.begin(), removed.end()))
        std::sort(removed.begin(), removed.end());
    std::vector<Value> merged;
    merged.reserve(values.size() + changed.size());
    auto nextRemoved = removed.begin();
    const auto append = [&](Value& value) {
        nextRemoved = std::find_if(nextRemoved, removed.end(), [&](const Key& key) { return !(key < keyOf(value)); });
        const bool isRemoved = nextRemoved != removed.end() && !(keyOf(value) < *nextRemoved);
        if (!isRemoved)
            merged.push_back(std::move(value));
    };
    auto existing = values.begin();
    for (auto change = changed.begin(); change != changed.end(); ++change) {
        const auto next = std::next(change);
        if (next != changed.end() && !isBefore(*change, *next))
            continue; // a later change has the same key
        for (; existing != values.end() && isBefore(*existing, *change); ++existing)
            append(*existing);
        if (existing != values.end() && !isBefore(*change, *existing))
            ++existing;
        append(*change);
    }
    for (; existing != values.end(); ++existing)
        append(*existing);
    values = std::move(merged);
}

/// The keys of `values` that none of `others` has. `others` need not be sorted.
template <typename Key, typename Value, typename KeyOf>
std::vector<Key> missingKeys(const std::vector<Value>& values, const std::vector<Value>& others, KeyOf keyOf)
{
    std::vector<Key> present;
    present.reserve(others.size());
    for (const Value& other : others)
        present.push_back(keyOf(other));
    if (!std::is_sorted(present.begin(), present.end()))
        std::sort(present.begin(), present.end());
    std::vector<Key> missing;
    for (const Value& value : values) {
        if (!std::binary_search(present.begin(), present.end(), keyOf(value)))
            missing.push_back(keyOf(value));
    }
    return missing;
}

} // namespace yuccahook::flow
