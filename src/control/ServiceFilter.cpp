#include "control/ServiceFilter.h"

#include <algorithm>

namespace yuccahook::control {

flow::MembershipDelta filterServices(
    flow::MembershipDelta delta, const flow::Membership& membership, const std::set<std::string>& names)
{
    const auto wanted = [&names](const flow::ServiceSpec& service) { return names.contains(service.name); };
    std::erase_if(delta.members, [&](const flow::Member& member) {
        const auto* service = membership.service(member.service);
        return !service || !wanted(*service);
    });
    delta.routes.clear(); // agents accept the flows that balancers send them and need no routes
    delta.removedRoutes.clear();
    return delta;
}

} // namespace yuccahook::control
