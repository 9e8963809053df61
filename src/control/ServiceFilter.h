#pragma once

#include "flow/Membership.h"

#include <set>
#include <string>

namespace yuccahook::control {

/// The part of a delta that a subscriber to some services needs: those services and their members. Ids of removed
/// ones stay, since the membership no longer tells whose they were.
flow::MembershipDelta onlyServices(
    flow::MembershipDelta delta, const flow::Membership& membership, const std::set<std::string>& names);

} // namespace yuccahook::control
