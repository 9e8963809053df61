#pragma once

#include "flow/PacketFlow.h"
#include "kernel/EnumNames.h"

#include <array>
#include <cstdint>
#include <optional>

namespace yuccahook::flow {

/// What a balancer or an agent did with a flow.
enum class FlowVerdict : std::uint8_t {
    Sent, ///< A balancer sent a new flow to an agent.
    Waits, ///< A new flow waits at an agent for a slot of its backend server.
    Accepted, ///< An agent offered a new flow to its backend server.
    Passed, ///< An agent forwarded a new flow to another agent.
    Refused, ///< Not run: no backend server was offered the flow, or none accepted it. Its caller gets a reset.
    Declined, ///< As `Refused`, but the flow may be open at another agent, so its caller gets no reset.
    Reset, ///< An open flow ended because its backend server no longer holds it.
    Searched, ///< The flow's agent is not known; the agents are asked for it.
    Found, ///< An agent that holds the flow replied.
    Dropped ///< A packet was discarded; its sender retransmits it.
};

/// Why a balancer or an agent decided as it did.
enum class FlowReason : std::uint8_t {
    None,
    NoRoute,
    RoutesStale, ///< No route, but no recent contact with a control instance either.
    NoAgent,
    NoBackend, ///< No backend server has reported to the agent.
    BackendOverdue, ///< The backend server's reports have stopped.
    BackendSilent, ///< The backend server left an opening packet unanswered.
    BackendRefused, ///< The backend server returned an opening packet.
    BackendDraining,
    BackendReplaced, ///< Another incarnation of the backend server has reported.
    BackendForgot, ///< The backend server returned a packet of the flow.
    BackendDeparted, ///< The backend server has announced its departure and sent nothing since.
    NoHolder, ///< Every agent has answered that its backend server does not hold the flow.
    Stopping, ///< The agent is in a planned stop.
    OtherService, ///< The backend server belongs to another service.
    SlotsTaken,
    GoalOutOfReach, ///< The flow would wait longer than the route's latency goal.
    AgentSilent, ///< The agent that was tried before did not reply.
    UnknownFlow,
    TableFull,
    SearchesFull, ///< Too many flows are searched for at the same time.
    Paused, ///< This process was suspended, so the packet may be old.
    Malformed,
    Forged, ///< A packet that its sender's end of a flow never sends.
    Evacuated, ///< The backend server's failure domain is evacuated.
    ColdLimit, ///< The backend server has just started and has its share of requests for now.
    NoHome, ///< No agent in a region that the route allows.
    Displaced, ///< A flow whose delay costs its caller more got the slot.
    Outlier, ///< The backend server is much slower than the others of its service, or fails requests.
    LinkFull, ///< The balancer's link could not carry the flow's requests in time.
    Retransmitted, ///< The caller's earlier copy of the packet still waits for the link.
    Repeated, ///< The same balancer has asked for the flow just before.
    Stale ///< A message about a flow that its addressee does not look for, or is not the locator of.
};

/// A decision and the inputs that it was based on.
struct FlowDecision {
    FlowVerdict verdict = FlowVerdict::Dropped;
    FlowReason reason = FlowReason::None;
    PacketFlow flow;
    PacketEndpoint peer; ///< The agent or balancer that a packet was sent to or came from; not set if none.
    std::uint64_t revision = 0; ///< Revision of the membership that the decision was based on.
    std::uint32_t busy = 0; ///< Flows in progress at the agent; 0 if not known.
    std::uint32_t slots = 0; ///< Slots of the agent's backend server; 0 if not known.
    std::uint64_t inputAgeMillis = 0; ///< Age of the report that the decision was based on; 0 if none.
    std::optional<std::uint8_t> priority {}; ///< Of a flow refused under OverloadPolicy::LeastCost.
    PacketFlow preferred {}; ///< The flow whose arrival displaced this one; not set if none.
};

} // namespace yuccahook::flow

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::FlowVerdict> {
    static constexpr std::array<std::string_view, 10> names { "sent", "waits", "accepted", "passed", "refused",
        "declined", "reset", "searched", "found", "dropped" };
};

template <> struct yuccahook::kernel::EnumNames<yuccahook::flow::FlowReason> {
    static constexpr std::array<std::string_view, 33> names { "none", "no-route", "routes-stale", "no-agent",
        "no-backend", "backend-overdue", "backend-silent", "backend-refused", "backend-draining", "backend-replaced",
        "backend-forgot", "backend-departed", "no-holder", "stopping", "other-service", "slots-taken",
        "goal-out-of-reach", "agent-silent", "unknown-flow", "table-full", "searches-full", "paused", "malformed",
        "forged", "evacuated", "cold-limit", "no-home", "displaced", "outlier", "link-full", "retransmitted",
        "repeated", "stale" };
};
