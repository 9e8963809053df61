#pragma once

#include "flow/Membership.h"

#include <set>
#include <string>

namespace yuccahook::control {

/// Reduces a delta to what a subscriber to some services needs: their members, and no routes. All services are kept, so
/// that an agent knows whether a backend server names one. The ids of removed members are kept, since the membership no
/// longer has the service that they belonged to.
flow::MembershipDelta filterServices(
    flow::MembershipDelta delta, const flow::Membership& membership, const std::set<std::string>& names);

} // namespace yuccahook::control
