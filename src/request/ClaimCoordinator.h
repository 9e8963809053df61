#pragma once

#include "net/EventLoopThread.h"
#include "net/TrunkPool.h"
#include "observe/Counters.h"
#include "request/ClaimTable.h"
#include "request/RequestPolicy.h"
#include "trunk.capnp.h"

#include <kj/async.h>
#include <map>
#include <string>

namespace yuccahook::request {

/// Runs an agent's ClaimTable on the event loop: sends its messages over RPC and resolves the requests that wait for a
/// decision. Must be used on the loop's thread.
class ClaimCoordinator final : private kj::TaskSet::ErrorHandler {
public:
    ClaimCoordinator(net::EventLoop& loop, net::TrunkPool& peers, observe::Counters& counters);
    ClaimCoordinator(const ClaimCoordinator&) = delete;
    ClaimCoordinator& operator=(const ClaimCoordinator&) = delete;
    ~ClaimCoordinator() noexcept(false) = default;

    void setMembership(const flow::MembershipPointer& membership, std::uint32_t self);
    void setPolicy(const RequestPolicy& policy);

    /// Claims a key. Dropping the promise abandons the attempt; a claim granted afterwards counts as not run.
    kj::Promise<ClaimDecision> acquire(const std::string& key, const RequestDigest& digest);

    /// Records the end of a granted attempt.
    void finish(std::uint64_t attempt, ClaimState state, AnswerPointer answer);

    /// The capability that other agents send claim messages to; this object must outlive it.
    schema::RequestPeer::Client peer();

private:
    class PeerServer;
    using Fulfiller = kj::Own<kj::PromiseFulfiller<ClaimDecision>>;

    Time now() const;
    void deliver(schema::ClaimMessage::Reader message);
    void flush();
    void sendTo(const flow::Member& member, const ClaimMessage& message);
    kj::Promise<void> tick();
    void taskFailed(kj::Exception&& exception) override;

    net::EventLoop& m_loop;
    net::TrunkPool& m_peers;
    observe::Counters& m_counters;
    ClaimTable m_table;
    flow::MembershipPointer m_membership;
    std::map<std::uint64_t, Fulfiller> m_waiting; // by attempt
    kj::TaskSet m_tasks;
};

} // namespace yuccahook::request
