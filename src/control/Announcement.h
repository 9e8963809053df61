#pragma once

#include "kernel/EnumNames.h"
#include "net/Address.h"

#include <array>
#include <cstdint>
#include <string>

namespace yuccahook::control {

/// A control instance's reply to an announcement.
enum class AnnounceStatus : std::uint8_t {
    Joined,
    Pending, ///< Not committed yet; the agent announces itself again.
    UnknownService,
    OldIncarnation,
    NotLeader
};

/// A control instance's reply to a subscriber that requests changes.
enum class ChangesStatus : std::uint8_t {
    Newer,
    Unchanged,
    NotCurrent ///< This instance is cut off from the quorum; the subscriber connects to another one.
};

/// What an agent reports about itself and its backend server.
struct Announcement {
    std::string agent;
    std::uint64_t incarnation = 0;
    std::string service;
    net::Address trunk;
    std::string domain;
    std::uint32_t weight = 100;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    bool draining = false;
    bool left = false; ///< The backend server has ended, and all of its flows with it.
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::AnnounceStatus> {
    static constexpr std::array<std::string_view, 5> names { "joined", "pending", "unknown-service", "old-incarnation",
        "not-leader" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::ChangesStatus> {
    static constexpr std::array<std::string_view, 3> names { "newer", "unchanged", "not-current" };
};
