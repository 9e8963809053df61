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

/// How a note ended.
enum class NoteStatus { Accepted, Invalid, NumberTaken, BaseRevisionMismatch };

/// The answer to a submitted note; a resent note gets the answer of the first.
struct NoteOutcome {
    NoteStatus status = NoteStatus::Accepted;
    std::uint64_t number = 0;
    std::uint64_t revision = 0; ///< The revision that the note made; of the accepted note when `NumberTaken`.
    std::string acceptedAuthor; ///< Whose note holds the number.
    settings::Faults faults;
};

/// An accepted note.
struct NoteRecord {
    std::string content;
    std::string author;
    std::uint64_t revision = 0;
};

/// All of the replicated state that a snapshot keeps.
struct ClusterImage {
    flow::Membership membership;
    std::map<std::uint64_t, NoteRecord> notes;
    std::uint32_t lastId = 0;
    std::string routeDocument;
};

/// The replicated state: applies committed commands in order, alike on every control instance.
class ClusterState {
public:
    explicit ClusterState(std::uint64_t cluster);
    explicit ClusterState(ClusterImage image);

    ClusterImage image() const { return { m_membership, m_notes, m_lastId, m_routeDocument }; }

    const flow::Membership& membership() const { return m_membership; }
    const std::map<std::uint64_t, NoteRecord>& notes() const { return m_notes; }

    /// The route table in force as its operator sent it; empty when there is none.
    const std::string& routeDocument() const { return m_routeDocument; }

    /// Applies one command and returns the note's answer when it was one.
    std::optional<NoteOutcome> apply(const Command& command);

    /// What a note would answer, without applying it.
    NoteOutcome judge(const std::string& text) const;

    /// The changes after a revision, or the whole state when they are no longer kept.
    flow::MembershipDelta changesAfter(std::uint64_t revision) const;

private:
    NoteOutcome applyNote(const SubmitNote& submit);
    void applyMembers(const UpdateMembers& update);
    void applyRoutes(const flow::RouteTable& table);
    NoteOutcome judge(const Note& note, flow::MembershipDelta& delta) const;
    void publish(flow::MembershipDelta delta);

    flow::Membership m_membership;
    std::map<std::uint64_t, NoteRecord> m_notes;
    std::deque<flow::MembershipDelta> m_recent; // one for each revision, newest last
    std::size_t m_recentRoutes = 0; // in m_recent
    std::uint32_t m_lastId = 0; // of services and members
    std::string m_routeDocument;
};

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::NoteStatus> {
    static constexpr std::array<std::string_view, 4> names { "accepted", "invalid", "number-taken",
        "base-revision-mismatch" };
};
