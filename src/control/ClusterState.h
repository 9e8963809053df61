#pragma once

#include "control/Command.h"
#include "flow/Membership.h"
#include "kernel/EnumNames.h"
#include "settings/Fault.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace yuccahook::control {

/// The result of a submitted release note.
enum class NoteStatus { Accepted, Invalid, NumberTaken, BaseRevisionMismatch };

/// The outcome of a submitted release note. A note that is submitted again has the first outcome.
struct NoteOutcome {
    NoteStatus status = NoteStatus::Accepted;
    std::uint64_t number = 0;
    /// The revision that the note created; with `NumberTaken` that of the accepted note, with `BaseRevisionMismatch`
    /// the current one.
    std::uint64_t revision = 0;
    std::string acceptedAuthor; ///< Author of the accepted note that has the number.
    settings::Faults faults;
};

/// An accepted release note.
struct NoteRecord {
    std::string content;
    std::string author;
    std::uint64_t revision = 0;
};

/// The replicated state as a snapshot stores it.
struct ClusterImage {
    flow::Membership membership;
    std::map<std::uint64_t, NoteRecord> notes;
    std::uint32_t lastId = 0;
    std::string routeDocument;
};

/// The replicated state machine. Every control instance applies the same committed commands in the same order.
class ClusterState {
public:
    /// An empty state; `cluster` is the cluster's id, 0 before the bootstrap.
    explicit ClusterState(std::uint64_t cluster);

    /// The state that a snapshot stores.
    explicit ClusterState(ClusterImage image);

    ClusterImage image() const { return { m_membership, m_notes, m_lastId, m_routeDocument }; }

    const flow::Membership& membership() const { return m_membership; }
    const std::map<std::uint64_t, NoteRecord>& notes() const { return m_notes; }

    /// The route table in force as its operator sent it; empty when there is none.
    const std::string& routeDocument() const { return m_routeDocument; }

    /// Applies a command. Returns the outcome of a `SubmitNote`, nothing for other commands.
    std::optional<NoteOutcome> apply(const Command& command);

    /// The outcome that a note would have now; does not apply it.
    NoteOutcome validateNote(const std::string& text) const;

    /// The changes after a revision; the full state for revision 0 and when the changes are no longer kept.
    flow::MembershipDelta changesAfter(std::uint64_t revision) const;

private:
    NoteOutcome applyNote(const SubmitNote& submit);
    void applyMembers(const UpdateMembers& update);
    void applyRoutes(const flow::RouteTable& table);
    void applyEvacuation(const SetEvacuation& order);
    NoteOutcome validateNote(const Note& note, flow::MembershipDelta& delta) const;
    void publish(flow::MembershipDelta delta);
    void publish(flow::MembershipDelta delta, std::vector<std::string> evacuated);

    flow::Membership m_membership;
    std::map<std::uint64_t, NoteRecord> m_notes;
    std::deque<flow::MembershipDelta> m_recentDeltas; // one for each recent revision, newest last
    std::size_t m_recentRouteCount = 0; // number of changed routes in m_recentDeltas
    std::uint32_t m_lastId = 0; // last id given to a service or member
    std::string m_routeDocument;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::NoteStatus> {
    static constexpr std::array<std::string_view, 4> names { "accepted", "invalid", "number-taken",
        "base-revision-mismatch" };
};
