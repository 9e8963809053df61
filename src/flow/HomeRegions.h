#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::flow {

/// The regions that the failure domains belong to, and the restriction of a route to some of them, its homes. A failure
/// domain that is not listed is in no region and therefore not a home.
///
/// Agents do not know the routes, so an opening packet carries the homes as a tag: a set of the site's regions, and a
/// check of the list that the set refers to. A process whose settings list other regions cannot read it.
class HomeRegions {
public:
    /// `regions` maps failure domains to regions.
    explicit HomeRegions(std::map<std::string, std::string> regions = {});

    /// Whether a failure domain may serve a route with those homes. Without homes, all may.
    bool isHome(const std::vector<std::string>& homes, std::string_view domain) const;

    /// The homes of a route as a tag; 0 without homes.
    std::uint32_t tagOf(const std::vector<std::string>& homes) const;

    /// Whether this process can tell the homes of a tag. It cannot if its settings list other regions than those of the
    /// process that made the tag, or if there are too many.
    bool canRead(std::uint32_t tag) const;

    /// Whether a failure domain may serve a flow with that tag; false if the tag cannot be read.
    bool isHome(std::uint32_t tag, std::string_view domain) const;

    /// Whether a number among the tried members of an envelope is a tag.
    static bool isTag(std::uint32_t number) { return (number & markMask) == mark; }

private:
    // The two upper bits; ids of members never get that high. Then the check, then the set.
    static constexpr std::uint32_t markMask = 0xc0000000;
    static constexpr std::uint32_t mark = 0x80000000;
    static constexpr std::uint32_t checkMask = 0x3fff0000;
    static constexpr std::size_t maximumRegions = 16;

    /// The bit of a region in tags; 0 if it has none.
    std::uint32_t bitOf(std::string_view region) const;
    std::string_view regionOf(std::string_view domain) const;

    std::map<std::string, std::string, std::less<>> m_regions; // by failure domain
    std::vector<std::string> m_names; // of all regions, sorted
    std::uint32_t m_check = 0;
};

} // namespace yuccahook::flow
