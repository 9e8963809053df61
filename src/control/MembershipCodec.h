#pragma once

#include "common.capnp.h"
#include "control.capnp.h"
#include "flow/Membership.h"

#include <string>

namespace yuccahook::control {

/// The whole text, in both directions; names that others choose may have zero bytes, at which a C string would end.
inline capnp::Text::Reader textOf(const std::string& text) { return { text.data(), text.size() }; }
inline std::string stringOf(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

void writeService(schema::ServiceSpec::Builder builder, const flow::ServiceSpec& service);
flow::ServiceSpec readServiceSpec(schema::ServiceSpec::Reader reader);

void writeMember(schema::Member::Builder builder, const flow::Member& member);
flow::Member readMember(schema::Member::Reader reader);

/// `list` must have as many elements as `routes`.
void writeRoutes(capnp::List<schema::Route>::Builder list, const std::vector<flow::PacketRoute>& routes);
std::vector<flow::PacketRoute> readRoutes(capnp::List<schema::Route>::Reader list);
void writeDelta(schema::View::Builder builder, const flow::MembershipDelta& delta);
flow::MembershipDelta readDelta(schema::View::Reader reader);

} // namespace yuccahook::control
