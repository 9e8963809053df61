#pragma once

#include "flow/Membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace yuccahook::control {

/// The encoded and compressed form of a view.
std::string encodeView(const flow::MembershipDelta& delta);

/// Nothing when the bytes are damaged.
std::optional<flow::MembershipDelta> decodeView(std::string_view bytes);

/// The encoded views of one revision. After a change, or a start of many processes, most subscribers ask for the same
/// one, and each would cost the control thread its whole encoding.
class ViewCache {
public:
    static constexpr std::size_t maximumViews = 32;

    /// What a subscriber has and follows.
    struct Request {
        std::uint64_t after = 0; ///< Revision.
        std::optional<std::set<std::string>> services; ///< By name; all when not set.

        auto operator<=>(const Request&) const = default;
    };

    /// The view that answers the request at the present revision; `make` is called when it is not cached.
    const std::string& view(
        std::uint64_t revision, const Request& request, const std::function<flow::MembershipDelta()>& make);

    /// Discards all views, as when the voters that they name have changed.
    void clear() { m_views.clear(); }

private:
    std::uint64_t m_revision = 0;
    std::map<Request, std::string> m_views;
};

} // namespace yuccahook::control
