#pragma once

#include "flow/Membership.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace yuccahook::request {

/// A member of a service with its failure domain.
struct ClaimMember {
    std::uint32_t id = 0;
    std::string domain;

    bool operator==(const ClaimMember&) const = default;
};

/// The members of one service at a revision that one agent has applied. Members whose lease has expired stay in the
/// view until control removes them, so every removal creates a new view; a removed id is never reused.
class ClaimView {
public:
    ClaimView() = default;
    ClaimView(std::uint64_t revision, std::uint32_t self, std::vector<ClaimMember> members);

    /// The members of the service that `self` belongs to; empty when `self` is not a member.
    static ClaimView fromMembership(const flow::Membership& membership, std::uint32_t self);

    std::uint64_t revision() const { return m_revision; }
    std::uint32_t self() const { return m_self; }
    const std::vector<ClaimMember>& members() const { return m_members; }

    /// Equal for two views with the same members.
    std::uint64_t hash() const { return m_hash; }

    bool contains(std::uint32_t member) const { return find(member) != nullptr; }

    /// The member with this id, or null.
    const ClaimMember* find(std::uint32_t member) const;

    /// Whether this agent is itself one of the members.
    bool joined() const { return contains(m_self); }

    /// The members by descending rendezvous score for the key; the first is the key's home agent.
    std::vector<ClaimMember> ranked(std::string_view key) const;

    /// The first of `ranked`, or 0 when there are no members.
    std::uint32_t homeOf(std::string_view key) const;

    /// The number of different failure domains.
    std::size_t domainCount() const;

private:
    std::uint64_t m_revision = 0;
    std::uint32_t m_self = 0;
    std::uint64_t m_hash = 0;
    std::vector<ClaimMember> m_members; // sorted by id
};

} // namespace yuccahook::request
