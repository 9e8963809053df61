#pragma once

#include "flow/PacketFlow.h"
#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>

namespace yuccahook::flow {

/// What a balancer or an agent did with a flow.
enum class FlowVerdict : std::uint8_t {
    Sent, ///< A balancer gave a new flow to an agent.
    Waits, ///< At an agent, for a slot of its backend server.
    Accepted, ///< An agent gave a new flow to its backend server.
    Passed, ///< An agent passed a new flow on to another.
    Refused, ///< Not run: no backend server was offered it, or none took it. Its caller knows at once.
    Declined, ///< The same for a copy: the flow may be open through another, so its caller hears nothing.
    Reset, ///< An open flow ended because its backend server no longer holds it.
    Searched, ///< Its agent was not known; all agents of the service were asked.
    Found, ///< An agent that held the flow answered.
    Dropped ///< A packet was discarded; its sender repeats it.
};

/// Why.
enum class FlowReason : std::uint8_t {
    None,
    NoRoute,
    RoutesStale, ///< No route, but no recent contact with a control instance either.
    NoAgent,
    NoBackend, ///< None has announced itself here.
    BackendOverdue, ///< Its announcements have stopped.
    BackendSilent, ///< It left an opening packet unanswered.
    BackendRefused, ///< It gave back an opening packet.
    BackendDraining,
    BackendReplaced, ///< Another incarnation has announced itself.
    BackendForgot, ///< It gave back a packet of the flow.
    Stopping, ///< The agent is in a planned stop.
    OtherService,
    SlotsTaken,
    GoalOutOfReach, ///< It would wait longer than the route's latency goal.
    AgentSilent, ///< The agent before did not answer.
    UnknownFlow,
    TableFull,
    Paused, ///< This process has stood still; the packet may be old.
    Malformed,
    Forged ///< A packet that its sender's end never writes.
};

/// A decision and the inputs that decided it.
struct FlowDecision {
    FlowVerdict verdict = FlowVerdict::Dropped;
    FlowReason reason = FlowReason::None;
    PacketFlow flow;
    PacketEndpoint peer; ///< The agent it went to; not set when none.
    std::uint64_t revision = 0; ///< Of the membership that decided.
    std::uint32_t busy = 0; ///< Flows in progress at the agent, when it decided by load.
    std::uint32_t slots = 0;
    std::uint64_t inputAgeMillis = 0; ///< Of the load report or announcement that decided.
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::FlowVerdict> {
    static constexpr std::array<std::string_view, 10> names { "sent", "waits", "accepted", "passed", "refused",
        "declined", "reset", "searched", "found", "dropped" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::FlowReason> {
    static constexpr std::array<std::string_view, 21> names { "none", "no-route", "routes-stale", "no-agent",
        "no-backend", "backend-overdue", "backend-silent", "backend-refused", "backend-draining", "backend-replaced",
        "backend-forgot", "stopping", "other-service", "slots-taken", "goal-out-of-reach", "agent-silent",
        "unknown-flow", "table-full", "paused", "malformed", "forged" };
};
