#include "control/MembershipCodec.h"

namespace yuccahook::control {

namespace {

void writeTexts(capnp::List<capnp::Text>::Builder list, const std::vector<std::string>& texts)
{
    for (std::size_t index = 0; index < texts.size(); ++index)
        list.set(index, textOf(texts[index]));
}

std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader list)
{
    std::vector<std::string> texts;
    for (const auto text : list)
        texts.push_back(stringOf(text));
    return texts;
}

} // namespace

void writeService(schema::ServiceSpec::Builder builder, const flow::ServiceSpec& service)
{
    builder.setId(service.id);
    builder.setName(textOf(service.name));
    builder.setProtocol(static_cast<std::uint8_t>(service.protocol));
    net::writeEndpoint(builder.initAddress(), service.address);
    builder.setBuckets(service.buckets);
    builder.setIdleSeconds(service.idleSeconds);
    builder.setWithdrawSeconds(service.withdrawSeconds);
    builder.setWithdrawn(service.withdrawn);
    builder.setRequests(textOf(service.requestPolicy));
    builder.setColdMillis(service.cold.coldMillis);
    builder.setColdPerSecond(service.cold.perSecond);
}

flow::ServiceSpec readServiceSpec(schema::ServiceSpec::Reader reader)
{
    flow::ServiceSpec service;
    service.id = reader.getId();
    service.name = stringOf(reader.getName());
    service.protocol = static_cast<flow::Protocol>(reader.getProtocol());
    service.address = net::readEndpoint(reader.getAddress());
    service.buckets = reader.getBuckets();
    service.idleSeconds = reader.getIdleSeconds();
    service.withdrawSeconds = reader.getWithdrawSeconds();
    service.withdrawn = reader.getWithdrawn();
    service.requestPolicy = stringOf(reader.getRequests());
    service.cold = { reader.getColdMillis(), reader.getColdPerSecond() };
    return service;
}

void writeMember(schema::Member::Builder builder, const flow::Member& member)
{
    builder.setId(member.id);
    builder.setAgent(textOf(member.agent));
    builder.setIncarnation(member.incarnation);
    builder.setService(member.service);
    net::writeEndpoint(builder.initTrunk(), member.trunk);
    builder.setDomain(textOf(member.domain));
    builder.setWeight(member.weight);
    builder.setSlots(member.slots);
    builder.setConnections(member.connections);
    builder.setState(static_cast<std::uint8_t>(member.state));
}

flow::Member readMember(schema::Member::Reader reader)
{
    flow::Member member;
    member.id = reader.getId();
    member.agent = stringOf(reader.getAgent());
    member.incarnation = reader.getIncarnation();
    member.service = reader.getService();
    member.trunk = net::readEndpoint(reader.getTrunk());
    member.domain = stringOf(reader.getDomain());
    member.weight = reader.getWeight();
    member.slots = reader.getSlots();
    member.connections = reader.getConnections();
    member.state = static_cast<flow::MemberState>(reader.getState());
    return member;
}

void writeRoutes(capnp::List<schema::Route>::Builder list, const std::vector<flow::PacketRoute>& routes)
{
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const auto& route = routes[index];
        auto builder = list[index];
        net::writeEndpoint(builder.initAddress(), route.address);
        builder.setName(textOf(route.name));
        auto targets = builder.initTargets(route.targets.size());
        for (std::size_t target = 0; target < route.targets.size(); ++target) {
            targets[target].setService(textOf(route.targets[target].service));
            targets[target].setWeight(route.targets[target].weight);
        }
        builder.setLatencyGoalMillis(route.latencyGoalMillis);
        builder.setTimeoutMillis(route.timeoutMillis);
        builder.setPriority(route.priority);
        builder.setIdempotent(route.idempotent);
        writeTexts(builder.initHomes(route.homes.size()), route.homes);
    }
}

std::vector<flow::PacketRoute> readRoutes(capnp::List<schema::Route>::Reader list)
{
    std::vector<flow::PacketRoute> routes;
    for (const auto reader : list) {
        auto& route = routes.emplace_back();
        route.address = net::readEndpoint(reader.getAddress());
        route.name = stringOf(reader.getName());
        for (const auto target : reader.getTargets())
            route.targets.push_back({ stringOf(target.getService()), target.getWeight() });
        route.latencyGoalMillis = reader.getLatencyGoalMillis();
        route.timeoutMillis = reader.getTimeoutMillis();
        route.priority = reader.getPriority();
        route.idempotent = reader.getIdempotent();
        route.homes = readTexts(reader.getHomes());
    }
    return routes;
}

void writeDelta(schema::View::Builder builder, const flow::MembershipDelta& delta)
{
    builder.setCluster(delta.cluster);
    builder.setRevision(delta.revision);
    builder.setFull(delta.full);
    auto services = builder.initServices(delta.services.size());
    for (std::size_t index = 0; index < delta.services.size(); ++index)
        writeService(services[index], delta.services[index]);
    auto members = builder.initMembers(delta.members.size());
    for (std::size_t index = 0; index < delta.members.size(); ++index)
        writeMember(members[index], delta.members[index]);
    auto removedServices = builder.initRemovedServices(delta.removedServices.size());
    for (std::size_t index = 0; index < delta.removedServices.size(); ++index)
        removedServices.set(index, delta.removedServices[index]);
    auto removedMembers = builder.initRemovedMembers(delta.removedMembers.size());
    for (std::size_t index = 0; index < delta.removedMembers.size(); ++index)
        removedMembers.set(index, delta.removedMembers[index]);
    builder.setRouteVersion(delta.routeVersion);
    builder.setFlowIdleMillis(delta.flowIdleMillis);
    writeRoutes(builder.initRoutes(delta.routes.size()), delta.routes);
    writeTexts(builder.initEvacuated(delta.evacuated.size()), delta.evacuated);
    builder.setOverload(static_cast<std::uint8_t>(delta.overload));
    builder.setAllServices(delta.hasAllServices);
    auto removedRoutes = builder.initRemovedRoutes(delta.removedRoutes.size());
    for (std::size_t index = 0; index < delta.removedRoutes.size(); ++index)
        net::writeEndpoint(removedRoutes[index], delta.removedRoutes[index]);
    auto controls = builder.initControls(delta.controlAddresses.size());
    for (std::size_t index = 0; index < delta.controlAddresses.size(); ++index)
        net::writeEndpoint(controls[index], delta.controlAddresses[index]);
}

flow::MembershipDelta readDelta(schema::View::Reader reader)
{
    flow::MembershipDelta delta;
    delta.cluster = reader.getCluster();
    delta.revision = reader.getRevision();
    delta.full = reader.getFull();
    for (const auto service : reader.getServices())
        delta.services.push_back(readServiceSpec(service));
    for (const auto member : reader.getMembers())
        delta.members.push_back(readMember(member));
    for (const std::uint32_t service : reader.getRemovedServices())
        delta.removedServices.push_back(service);
    for (const std::uint32_t member : reader.getRemovedMembers())
        delta.removedMembers.push_back(member);
    delta.routeVersion = reader.getRouteVersion();
    delta.flowIdleMillis = reader.getFlowIdleMillis();
    delta.routes = readRoutes(reader.getRoutes());
    delta.evacuated = readTexts(reader.getEvacuated());
    delta.overload = static_cast<flow::OverloadPolicy>(reader.getOverload());
    delta.hasAllServices = reader.getAllServices();
    for (const auto address : reader.getRemovedRoutes())
        delta.removedRoutes.push_back(net::readEndpoint(address));
    for (const auto address : reader.getControls())
        delta.controlAddresses.push_back(net::readEndpoint(address));
    return delta;
}

} // namespace yuccahook::control
