#include "flow/Membership.h"

#include "flow/SortedMerge.h"

#include <algorithm>
#include <functional>

namespace yuccahook::flow {

namespace {

template <typename Value> const Value* findById(const std::vector<Value>& values, std::uint32_t id)
{
    const auto found = std::lower_bound(
        values.begin(), values.end(), id, [](const Value& value, std::uint32_t wanted) { return value.id < wanted; });
    return found != values.end() && found->id == id ? &*found : nullptr;
}

bool isBefore(const PacketRoute& route, const net::Address& address) { return route.address < address; }

} // namespace

const ServiceSpec* Membership::service(std::uint32_t id) const { return findById(services, id); }

const ServiceSpec* Membership::serviceNamed(std::string_view name) const
{
    const auto found = std::find_if(services.begin(), services.end(),
        [name](const ServiceSpec& service) { return service.name == name && !service.withdrawn; });
    return found != services.end() ? &*found : nullptr;
}

bool Membership::mayHaveService(std::string_view name) const
{
    return !hasAllServices || services.empty() || serviceNamed(name) != nullptr;
}

const Member* Membership::member(std::uint32_t id) const { return findById(members, id); }

const PacketRoute* Membership::route(const net::Address& address) const
{
    const auto found = std::lower_bound(routes.begin(), routes.end(), address, isBefore);
    return found != routes.end() && found->address == address ? &*found : nullptr;
}

bool Membership::isEvacuated(std::string_view domain) const
{
    return std::binary_search(evacuated.begin(), evacuated.end(), domain);
}

MembershipPointer applyDelta(const Membership& before, const MembershipDelta& delta)
{
    const bool sameCluster = before.cluster == delta.cluster || before.revision == 0;
    if (!sameCluster || delta.revision <= before.revision)
        return nullptr;
    auto after = std::make_shared<Membership>();
    if (!delta.full)
        *after = before;
    after->cluster = delta.cluster;
    after->revision = delta.revision;
    mergeSorted(after->services, delta.services, delta.removedServices, std::mem_fn(&ServiceSpec::id));
    mergeSorted(after->members, delta.members, delta.removedMembers, std::mem_fn(&Member::id));
    after->routeVersion = delta.routeVersion;
    after->flowIdleMillis = delta.flowIdleMillis;
    after->evacuated = delta.evacuated;
    after->overload = delta.overload;
    after->hasAllServices = delta.hasAllServices && (delta.full || before.hasAllServices);
    mergeSorted(after->routes, delta.routes, delta.removedRoutes, std::mem_fn(&PacketRoute::address));
    return after;
}

} // namespace yuccahook::flow
