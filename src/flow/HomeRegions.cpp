#include "flow/HomeRegions.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <xxhash.h>

namespace yuccahook::flow {

HomeRegions::HomeRegions(std::map<std::string, std::string> regions)
    : m_regions(std::make_move_iterator(regions.begin()), std::make_move_iterator(regions.end()))
{
    std::set<std::string> names;
    for (const auto& [domain, region] : m_regions)
        names.insert(region);
    m_names.assign(names.begin(), names.end());
    std::string list;
    for (const auto& name : m_names)
        list.append(name).push_back('\0');
    m_check = XXH32(list.data(), list.size(), 0) & checkMask;
}

std::string_view HomeRegions::regionOf(std::string_view domain) const
{
    const auto found = m_regions.find(domain);
    return found != m_regions.end() ? std::string_view(found->second) : std::string_view();
}

std::uint32_t HomeRegions::bitOf(std::string_view region) const
{
    const auto found = std::lower_bound(m_names.begin(), m_names.end(), region);
    const auto index = static_cast<std::size_t>(found - m_names.begin());
    return found != m_names.end() && *found == region && index < maximumRegions ? 1U << index : 0;
}

bool HomeRegions::isHome(const std::vector<std::string>& homes, std::string_view domain) const
{
    if (homes.empty())
        return true;
    const auto region = regionOf(domain);
    return !region.empty() && std::find(homes.begin(), homes.end(), region) != homes.end();
}

std::uint32_t HomeRegions::tagOf(const std::vector<std::string>& homes) const
{
    if (homes.empty())
        return 0;
    std::uint32_t tag = mark | m_check;
    for (const auto& home : homes)
        tag |= bitOf(home); // a region without a failure domain has no agent, so it need not be told
    return tag;
}

bool HomeRegions::canRead(std::uint32_t tag) const
{
    return tag == 0 || (isTag(tag) && (tag & checkMask) == m_check && m_names.size() <= maximumRegions);
}

bool HomeRegions::isHome(std::uint32_t tag, std::string_view domain) const
{
    return tag == 0 || (canRead(tag) && (tag & bitOf(regionOf(domain))) != 0);
}

} // namespace yuccahook::flow
