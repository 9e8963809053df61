#pragma once

#include "control/QuorumMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace yuccahook::control {

/// The part that a control instance without a disk has in the quorum protocol. It stores nothing and never votes, but
/// it knows where the quorum is: it names the voters to whoever looks for them and the instance that takes an
/// operator's request. Does no input or output.
class QuorumRelay {
public:
    /// `discoveryPeers` are the instances to contact in search of the quorum.
    QuorumRelay(std::uint32_t id, const std::vector<std::uint32_t>& discoveryPeers);

    /// Handles a message of another instance. Only hellos and their replies concern an instance without a disk.
    void receive(const QuorumMessage& message, std::uint64_t nowMillis);

    /// Sends the hellos that are due: to the leader, or to all known instances while none has replied as leader.
    void tick(std::uint64_t nowMillis);

    /// Returns and clears the messages to send.
    std::vector<QuorumMessage> takeMessages() { return std::exchange(m_messages, {}); }

    /// Adds instances to contact in search of the quorum. At most 32 are kept; further ones are ignored.
    void addDiscoveryPeers(const std::vector<std::uint32_t>& discoveryPeers);

    /// An instance that takes operators' requests.
    struct RequestTarget {
        std::uint32_t id = 0;
        net::Address operatorAddress;
    };

    /// The leader, or during an election a voter, which waits for its end. Nothing when none has replied recently.
    std::optional<RequestTarget> requestTarget(std::uint64_t nowMillis) const;

    /// The voters by the furthest of the logs that this instance has heard of.
    const VoterMap& voters() const { return m_voters; }

private:
    /// The last reply of an instance that has a disk.
    struct Contact {
        std::uint64_t lastReplyMillis = 0;
        std::uint64_t term = 0;
        bool leads = false;
        net::Address operatorAddress {};
    };
    using Contacts = std::map<std::uint32_t, Contact>;

    void onHello(const QuorumMessage& hello);
    void onHelloReply(const QuorumMessage& reply, std::uint64_t nowMillis);
    Contacts::const_iterator recentLeader(std::uint64_t nowMillis) const;
    Contacts::const_iterator recentVoter(std::uint64_t nowMillis) const;
    void sendHello(std::uint32_t to);

    std::uint32_t m_id;
    std::set<std::uint32_t> m_discoveryPeers;
    Contacts m_contacts; // by instance
    std::uint64_t m_cluster = 0;
    VoterMap m_voters;
    std::pair<std::uint64_t, std::uint64_t> m_voterLog; // term and index of the last entry of that log
    std::uint64_t m_helloDueMillis = 0;
    std::vector<QuorumMessage> m_messages;
};

} // namespace yuccahook::control
