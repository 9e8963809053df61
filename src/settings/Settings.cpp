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
constexpr std::uint32_t maximumPacketPeriodMillis = 600'000;
constexpr std::uint64_t maximumControlInstances = 7;

bool needsSection(Role role, Role section) { return role == section || role == Role::All; }

void readBalancer(ObjectReader& reader, BalancerSettings& balancer)
{
    reader.object("packets", [&balancer](ObjectReader& part) {
        balancer.packets.emplace();
        part.address("listen", balancer.packets->listen, true);
        part.address("trunk", balancer.packets->trunk, true);
        part.quantity("linkMegabitsPerSecond", balancer.packets->linkMegabitsPerSecond);
        part.choice("outliers", balancer.packets->outliers);
    });
    reader.text("listenHost", balancer.listenHost);
    if (!balancer.listenHost.empty() && !net::Address::parseHost(balancer.listenHost, 1))
        reader.addFault(FaultKind::Malformed, "listenHost", '"' + balancer.listenHost + '"', "an IP address");
    reader.integer("trafficThreads", balancer.trafficThreads, 1, maximumTrafficThreads);
    reader.integer("maximumStreams", balancer.maximumStreams, 1, maximumStreamsBound);
}

void readAgent(ObjectReader& reader, AgentSettings& agent)
{
    reader.object("packets", [&agent](ObjectReader& part) {
        auto& packets = agent.packets.emplace();
        part.address("listen", packets.listen, true);
        part.address("outbound", packets.outbound, true);
        part.address("backend", packets.backend, true);
        part.integer("announceMillis", packets.announceMillis, 1, maximumPacketPeriodMillis);
        part.seconds("reuseSeconds", packets.reuseMillis, maximumPacketPeriodMillis);
        part.seconds("maximumFlowSeconds", packets.maximumFlowMillis, maximumPacketPeriodMillis);
        part.choice("outliers", packets.outliers);
    });
    reader.address("trunk", agent.trunk, !agent.packets);
    reader.address("announcedTrunk", agent.announcedTrunk);
    reader.integer("maximumFlows", agent.maximumFlows, 1, maximumFlowsBound);
    reader.integer("leaveSeconds", agent.leaveSeconds, 0, maximumLeaveSeconds);
}

// The id of a control instance whose settings have no `id`: its IPv4 address.
std::uint32_t idFromAddress(const net::Address& address) { return static_cast<std::uint32_t>(address.low); }

// A control instance whose settings have neither `id` nor `peers` has the other addresses of `control` as its peers. It
// does not bootstrap a cluster when `control` lists addresses but not its own.
void addPeersFromAddresses(const std::vector<net::Address>& addresses, ControlSettings& control)
{
    if (!control.peers.empty() || !control.usesAddressAsId)
        return;
    bool isListed = addresses.empty();
    for (const auto& address : addresses) {
        isListed = isListed || address == control.listen;
        if (address != control.listen && idFromAddress(address) != control.id)
            control.peers.push_back({ idFromAddress(address), address });
    }
    control.founds = control.founds && isListed;
}

void readControl(ObjectReader& reader, ControlSettings& control)
{
    reader.address("listen", control.listen, true);
    control.id = idFromAddress(control.listen);
    control.usesAddressAsId = !reader.has("id");
    reader.integer("id", control.id, 1, UINT32_MAX);
    if (!reader.has("data"))
        reader.addFault(FaultKind::MissingKey, "data", "", "a path, or an empty string for a relay without a disk");
    reader.text("data", control.data);
    reader.flag("founds", control.founds);
    std::set<std::uint32_t> ids { control.id };
    std::set<net::Address> addresses { control.listen };
    reader.objects("peers", [&](ObjectReader& peerReader) {
        QuorumPeerSettings peer;
        peerReader.integer("id", peer.id, 1, UINT32_MAX, true);
        peerReader.address("address", peer.address, true);
        if (!ids.insert(peer.id).second)
            peerReader.addFault(FaultKind::Duplicate, "id", std::to_string(peer.id), "each id once");
        if (peer.address.isSet() && !addresses.insert(peer.address).second)
            peerReader.addFault(FaultKind::Duplicate, "address", peer.address.text(), "each address once");
        control.peers.push_back(peer);
    });
    if (control.peers.size() + 1 > maximumControlInstances)
        reader.addFault(FaultKind::OutOfRange, "peers", std::to_string(control.peers.size()), "at most 6 peers");
}

// A failure domain with a null region is in none, as one that is not listed.
void readRegions(ObjectReader& reader, std::map<std::string, std::string>& regions)
{
    const auto* value = reader.find("regions");
    if (!value || value->is_null())
        return;
    if (!value->is_object()) {
        reader.addFault(FaultKind::WrongType, "regions", value->type_name(), "an object of failure domain to region");
        return;
    }
    for (const auto& [domain, region] : value->items()) {
        const std::string path = "regions." + domain;
        if (region.is_null())
            continue;
        if (!region.is_string())
            reader.addFault(FaultKind::WrongType, path, region.type_name(), "the name of a region");
        else if (domain.empty() || region.get<std::string>().empty())
            reader.addFault(FaultKind::OutOfRange, path, "\"\"", "names that are not empty");
        else
            regions[domain] = region.get<std::string>();
    }
}

void checkAddressesDiffer(const Settings& settings, Faults& faults)
{
    std::set<net::Address> tcpAddresses { settings.operatorAddress };
    if (settings.agent && settings.agent->trunk.isSet() && !tcpAddresses.insert(settings.agent->trunk).second)
        faults.push_back({ FaultKind::Duplicate, "agent.trunk", settings.agent->trunk.text(),
            "an address that no other setting uses" });
    if (!settings.controlInstance || !settings.controlInstance->listen.isSet())
        return;
    const net::Address& listen = settings.controlInstance->listen;
    if (!tcpAddresses.insert(listen).second)
        faults.push_back(
            { FaultKind::Duplicate, "controlInstance.listen", listen.text(), "an address that no other setting uses" });
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
    readRegions(reader, settings.regions);
    reader.address("operator", settings.operatorAddress, true);
    reader.address("health", settings.healthAddress);
    reader.object("log", [&](ObjectReader& log) { log.choice("level", settings.logLevel); });
    reader.addresses(
        "control", settings.control, needsSection(role, Role::Balancer) || needsSection(role, Role::Agent));
    std::uint16_t controlPort = 0;
    reader.integer("controlPort", controlPort, 1, UINT16_MAX);
    for (auto& address : settings.control)
        address.port = controlPort != 0 ? controlPort : address.port;
    const auto section = [&](std::string_view key, Role owner, auto& sectionSettings, auto read) {
        if (!reader.has(key) && !needsSection(role, owner))
            return;
        sectionSettings.emplace();
        reader.object(
            key, [&](ObjectReader& part) { read(part, *sectionSettings); }, true);
    };
    section("balancer", Role::Balancer, settings.balancer, readBalancer);
    section("agent", Role::Agent, settings.agent, readAgent);
    section("controlInstance", Role::Control, settings.controlInstance, readControl);
    if (settings.controlInstance)
        settings.controlInstance->operatorAddress = settings.operatorAddress;
    if (settings.controlInstance)
        addPeersFromAddresses(settings.control, *settings.controlInstance);
    reader.reportUnknownKeys();
    checkAddressesDiffer(settings, faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return settings;
}

std::optional<Settings> loadSettings(const std::string& path, Role role, Faults& faults)
{
    const auto text = readFile(path, faults);
    return text ? parseSettings(*text, role, faults) : std::nullopt;
}

std::optional<Role> detectRole(std::string_view text, Faults& faults)
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
