#pragma once

#include "kernel/EnumNames.h"
#include "net/Address.h"
#include "settings/Fault.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::settings {

/// What a process of yuccahook does; `All` is one of each.
enum class Role { Balancer, Agent, Control, All };

/// Mildest level of log events that is written.
enum class LogLevel { Debug, Info, Warn, Error };

/// Where packets of encapsulated flows come and go at a balancer.
struct BalancerPacketSettings {
    net::Address listen; ///< UDP, for the routers in front.
    net::Address trunk; ///< UDP, for agents.
};

/// Where packets of encapsulated flows come and go at an agent.
struct AgentPacketSettings {
    net::Address listen; ///< UDP, for balancers and other agents.
    net::Address outbound; ///< UDP, for what the backend server sends.
    net::Address backend; ///< UDP, where the backend server takes packets.
    std::uint32_t announceMillis = 1200; ///< How often the backend server announces itself.
    std::uint32_t reuseMillis = 2000; ///< Its address may belong to another service this long after it is gone.
    std::uint32_t maximumFlowMillis = 60'000; ///< A flow that is older may be forgotten.
};

struct BalancerSettings {
    std::optional<BalancerPacketSettings> packets; ///< Serves packet services instead of the others.
    std::string listenHost; ///< Takes services' ports on this host instead of the services' own addresses.
    std::uint32_t trafficThreads = 1;
    std::uint32_t maximumStreams = 100'000;
};

struct AgentSettings {
    std::optional<AgentPacketSettings> packets; ///< The backend server takes packets; `trunk` is not used.
    net::Address trunk; ///< UDP and TCP, for balancers and other agents.
    net::Address
        announcedTrunk; ///< Where others reach the trunk when an address translation lies between; unset: `trunk`.
    std::uint32_t maximumFlows = 20'000;
    std::uint32_t leaveSeconds = 30; ///< Longest wait for open flows in a planned stop.
};

struct QuorumPeerSettings {
    std::uint32_t id = 0;
    net::Address address;
};

struct ControlSettings {
    std::uint32_t id = 1; ///< Unique among the control instances.
    net::Address listen; ///< RPC, for every other process.
    std::string data; ///< The data folder.
    std::vector<QuorumPeerSettings> peers; ///< The other control instances.
    bool isNamedByAddress = false; ///< Has its IPv4 address as its id, and the addresses of `control` as peers.
    bool founds = true; ///< May start a cluster with `peers` when all of them are empty.
};

/// A settings file, checked.
struct Settings {
    std::string name;
    std::string domain;
    net::Address operatorAddress;
    net::Address healthAddress; ///< A second address for the same calls; not set for none.
    LogLevel logLevel = LogLevel::Info;
    std::vector<net::Address> control; ///< RPC addresses of control instances, preferred first.
    std::optional<BalancerSettings> balancer;
    std::optional<AgentSettings> agent;
    std::optional<ControlSettings> controlInstance;
};

/// Reads and checks a settings file for a role; every fault is added to `faults`, and nothing is returned when
/// there is one.
std::optional<Settings> parseSettings(std::string_view text, Role role, Faults& faults);

/// Reads a settings file and checks it, as `parseSettings` does.
std::optional<Settings> loadSettings(const std::string& path, Role role, Faults& faults);

/// The role whose section a settings file has; `All` when it has more than one.
std::optional<Role> detectRole(std::string_view text, Faults& faults);

/// The text of a file, or a fault.
std::optional<std::string> readFile(const std::string& path, Faults& faults);

} // namespace yuccahook::settings

template <> struct yuccahook::kernel::EnumNames<yuccahook::settings::Role> {
    static constexpr std::array<std::string_view, 4> names { "balancer", "agent", "control", "all" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::settings::LogLevel> {
    static constexpr std::array<std::string_view, 4> names { "debug", "info", "warn", "error" };
};
