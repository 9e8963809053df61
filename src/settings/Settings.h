#pragma once

#include "kernel/EnumNames.h"
#include "net/Address.h"
#include "settings/Fault.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::settings {

/// The role of a yuccahook process; `All` runs one of each in one process.
enum class Role { Balancer, Agent, Control, All };

/// Lowest severity of the log events that are written.
enum class LogLevel { Debug, Info, Warn, Error };

/// Whether backend servers of packet services that are slow or fail requests are detected, and get new flows last.
enum class OutlierDetection { Off, On };

/// Addresses of a balancer for the packets of encapsulated flows.
struct BalancerPacketSettings {
    net::Address listen; ///< UDP, for packets that the routers in front send.
    net::Address trunk; ///< UDP, for agents.
    double linkMegabitsPerSecond = 0; ///< Capacity of the instance's link; 0: not known.
    OutlierDetection outliers = OutlierDetection::Off;
};

/// Addresses and periods of an agent for the packets of encapsulated flows.
struct AgentPacketSettings {
    net::Address listen; ///< UDP, for balancers and other agents.
    net::Address outbound; ///< UDP, for packets that the backend server sends.
    net::Address backend; ///< UDP, where the backend server receives packets.
    std::uint32_t announceMillis = 1200; ///< Interval between reports of the backend server.
    /// Shortest time after which the address of a backend server that is gone may belong to another service.
    std::uint32_t reuseMillis = 2000;
    std::uint32_t maximumFlowMillis = 60'000; ///< A flow that is older may be forgotten.
    OutlierDetection outliers = OutlierDetection::Off;
};

/// The section `balancer`.
struct BalancerSettings {
    std::optional<BalancerPacketSettings> packets; ///< When set, packet services are served and no others.
    std::string listenHost; ///< IP address on which services' ports are bound; empty: the services' own addresses.
    std::uint32_t trafficThreads = 1;
    std::uint32_t maximumStreams = 100'000;
};

/// The section `agent`.
struct AgentSettings {
    std::optional<AgentPacketSettings> packets; ///< When set, packets reach the backend server and `trunk` is unused.
    net::Address trunk; ///< UDP and TCP, for balancers and other agents.
    net::Address announcedTrunk; ///< Where others reach the trunk through address translation; unset: `trunk`.
    std::uint32_t maximumFlows = 20'000;
    std::uint32_t leaveSeconds = 30; ///< Longest wait for open flows in a planned stop.
};

/// Another control instance.
struct QuorumPeerSettings {
    std::uint32_t id = 0;
    net::Address address;
};

/// The section `controlInstance`.
struct ControlSettings {
    std::uint32_t id = 1; ///< Unique among the control instances.
    net::Address listen; ///< RPC, for every other process.
    std::string data; ///< The data folder; empty for a diskless instance.
    std::vector<QuorumPeerSettings> peers; ///< The other control instances.
    bool usesAddressAsId = false; ///< Set when `id` is absent; empty `peers` are then filled from `control`.
    bool founds = true; ///< May bootstrap a cluster with `peers` when the journals of all are empty.
    net::Address operatorAddress {}; ///< The process's `operator`.
};

/// The content of a settings file that has passed all checks.
struct Settings {
    std::string name;
    std::string domain;
    std::map<std::string, std::string> regions; ///< The region of each failure domain that is in one.
    net::Address operatorAddress; ///< HTTP, for operators.
    net::Address healthAddress; ///< A second address with the same calls; unset: none.
    LogLevel logLevel = LogLevel::Info;
    std::vector<net::Address> control; ///< RPC addresses of control instances, preferred first.
    std::optional<BalancerSettings> balancer;
    std::optional<AgentSettings> agent;
    std::optional<ControlSettings> controlInstance;
};

/// Parses and checks the text of a settings file for a role. Adds every fault to `faults` and returns nothing when
/// there is one.
std::optional<Settings> parseSettings(std::string_view text, Role role, Faults& faults);

/// Reads a settings file and parses it as `parseSettings` does.
std::optional<Settings> loadSettings(const std::string& path, Role role, Faults& faults);

/// The role whose section the text of a settings file has; `All` when it has several. Having none is a fault.
std::optional<Role> detectRole(std::string_view text, Faults& faults);

/// The content of a file; nothing, and a fault, when it can't be opened.
std::optional<std::string> readFile(const std::string& path, Faults& faults);

} // namespace yuccahook::settings

template <> struct yuccahook::kernel::EnumNames<yuccahook::settings::Role> {
    static constexpr std::array<std::string_view, 4> names { "balancer", "agent", "control", "all" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::settings::OutlierDetection> {
    static constexpr std::array<std::string_view, 2> names { "off", "on" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::settings::LogLevel> {
    static constexpr std::array<std::string_view, 4> names { "debug", "info", "warn", "error" };
};
