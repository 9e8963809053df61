#include "settings/Settings.h"

#include "settings/ObjectReader.h"

#include <fstream>
#include <set>
#include <sstream>

namespace yuccahook::settings {

namespace {

constexpr std::uint64_t maximumTrafficThreads = 64;
constexpr std::uint64_t maximumStreamsBound = 1'000'000;
constexpr std::uint64_t maximumFlowsBound = 1'000'000;
constexpr std::uint64_t maximumLeaveSeconds = 86'400;
constexpr std::uint64_t maximumControlInstances = 7;

bool usesSection(Role role, Role section) { return role == section || role == Role::All; }

void readBalancer(ObjectReader& reader, BalancerSettings& balancer)
{
    reader.text("listenHost", balancer.listenHost);
    if (!balancer.listenHost.empty() && !net::Address::parseHost(balancer.listenHost, 1))
        reader.fault(FaultKind::Malformed, "listenHost", '"' + balancer.listenHost + '"', "an IP address");
    reader.integer("trafficThreads", balancer.trafficThreads, 1, maximumTrafficThreads);
    reader.integer("maximumStreams", balancer.maximumStreams, 1, maximumStreamsBound);
}

void readAgent(ObjectReader& reader, AgentSettings& agent)
{
    reader.address("trunk", agent.trunk, true);
    reader.address("announcedTrunk", agent.announcedTrunk);
    reader.integer("maximumFlows", agent.maximumFlows, 1, maximumFlowsBound);
    reader.integer("leaveSeconds", agent.leaveSeconds, 0, maximumLeaveSeconds);
}

void readControl(ObjectReader& reader, ControlSettings& control)
{
    reader.integer("id", control.id, 1, UINT32_MAX, true);
    reader.address("listen", control.listen, true);
    reader.text("data", control.data, true);
    std::set<std::uint32_t> ids { control.id };
    std::set<net::Address> addresses { control.listen };
    reader.objects("peers", [&](ObjectReader& peerReader) {
        QuorumPeerSettings peer;
        peerReader.integer("id", peer.id, 1, UINT32_MAX, true);
        peerReader.address("address", peer.address, true);
        if (!ids.insert(peer.id).second)
            peerReader.fault(FaultKind::Duplicate, "id", std::to_string(peer.id), "each id once");
        if (peer.address.isSet() && !addresses.insert(peer.address).second)
            peerReader.fault(FaultKind::Duplicate, "address", peer.address.text(), "each address once");
        control.peers.push_back(peer);
    });
    if (control.peers.size() + 1 > maximumControlInstances)
        reader.fault(FaultKind::OutOfRange, "peers", std::to_string(control.peers.size()), "at most 6");
}

void checkAddressesDiffer(const Settings& settings, Faults& faults)
{
    std::set<net::Address> tcpAddresses { settings.operatorAddress };
    if (settings.agent && settings.agent->trunk.isSet() && !tcpAddresses.insert(settings.agent->trunk).second)
        faults.push_back({ FaultKind::Duplicate, "agent.trunk", settings.agent->trunk.text(), "another address" });
    if (!settings.controlInstance || !settings.controlInstance->listen.isSet())
        return;
    const net::Address& listen = settings.controlInstance->listen;
    if (!tcpAddresses.insert(listen).second)
        faults.push_back({ FaultKind::Duplicate, "controlInstance.listen", listen.text(), "another address" });
}

} // namespace

std::optional<Settings> parseSettings(std::string_view text, Role role, Faults& faults)
{
    const std::size_t faultsBefore = faults.size();
    const auto document = parseJson(text, faults);
    if (!document)
        return std::nullopt;
    Settings settings;
    ObjectReader reader(*document, "", faults);
    reader.text("name", settings.name, true);
    reader.text("domain", settings.domain, true);
    reader.address("operator", settings.operatorAddress, true);
    reader.object("log", [&](ObjectReader& log) { log.choice("level", settings.logLevel); });
    reader.addresses("control", settings.control, usesSection(role, Role::Balancer) || usesSection(role, Role::Agent));
    const auto section = [&](std::string_view key, Role owner, auto& aggregate, auto read) {
        if (!reader.has(key) && !usesSection(role, owner))
            return;
        aggregate.emplace();
        reader.object(
            key, [&](ObjectReader& part) { read(part, *aggregate); }, true);
    };
    section("balancer", Role::Balancer, settings.balancer, readBalancer);
    section("agent", Role::Agent, settings.agent, readAgent);
    section("controlInstance", Role::Control, settings.controlInstance, readControl);
    reader.finish();
    checkAddressesDiffer(settings, faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return settings;
}

std::optional<Role> roleOf(std::string_view text, Faults& faults)
{
    const auto document = parseJson(text, faults);
    if (!document)
        return std::nullopt;
    std::vector<Role> roles;
    if (document->contains("balancer"))
        roles.push_back(Role::Balancer);
    if (document->contains("agent"))
        roles.push_back(Role::Agent);
    if (document->contains("controlInstance"))
        roles.push_back(Role::Control);
    if (roles.empty()) {
        faults.push_back({ FaultKind::MissingKey, "", "", "a section balancer, agent or controlInstance" });
        return std::nullopt;
    }
    return roles.size() == 1 ? roles.front() : Role::All;
}

std::optional<std::string> readFile(const std::string& path, Faults& faults)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        faults.push_back({ FaultKind::MissingKey, "", path, "a file that can be read" });
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace yuccahook::settings
