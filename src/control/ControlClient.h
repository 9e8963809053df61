#pragma once

#include "control.capnp.h"
#include "control/Announcement.h"
#include "flow/Membership.h"
#include "kernel/Service.h"
#include "net/EventLoopThread.h"

#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yuccahook::control {

/// Keeps a process in step with the control instances: follows the membership revisions and announces the agent.
/// Its loop is the process's control thread.
class ControlClient final : public kernel::Service {
public:
    using MembershipListener = std::function<void(flow::MembershipPointer)>;

    static constexpr std::string_view serviceName = "control-client";

    /// `subscriber` names the process; `addresses` are RPC addresses of control instances, preferred first.
    ControlClient(std::string subscriber, std::vector<net::Address> addresses);
    ~ControlClient() noexcept override;

    std::string_view name() const override { return serviceName; }
    bool start() override;
    void stop() override;

    /// Called on the control thread with each newer membership. Add before `start`.
    void onMembership(MembershipListener listener);

    /// Follows only the announced service instead of all of them. Call before `start`.
    void followAnnouncedServiceOnly() { m_services.emplace(); }

    /// More RPC addresses of control instances; from any thread.
    void addControlAddresses(const std::vector<net::Address>& addresses);

    /// What to announce from now on; from any thread.
    void announce(const Announcement& announcement);

    /// The newest membership; an empty one before the first contact. From any thread.
    flow::MembershipPointer membership() const;

    /// Milliseconds since a control instance in contact with a quorum answered; from any thread.
    std::uint64_t stalenessMillis() const;

private:
    struct Connection;

    void publish(flow::MembershipPointer membership);
    void learnAddresses(const std::vector<net::Address>& addresses);
    kj::Promise<void> follow();
    kj::Promise<void> connect(std::size_t attempt);
    kj::Promise<void> followChanges();
    kj::Promise<void> askForChanges();
    void take(const flow::MembershipDelta& delta, bool whole);
    void followService(const std::string& service);
    kj::Promise<void> keepAnnounced();
    kj::Promise<void> announceOnce();

    const std::string m_subscriber;
    std::vector<MembershipListener> m_listeners;
    net::EventLoopThread m_thread;

    mutable std::mutex m_mutex;
    flow::MembershipPointer m_membership; // guarded by m_mutex
    std::atomic<std::int64_t> m_lastContactMillis;

    // Control thread only.
    net::EventLoop* m_loop = nullptr;
    kj::Own<Connection> m_connection;
    net::Address m_connectedTo;
    bool m_connected = false;
    std::vector<net::Address> m_addresses; // newest knowledge first
    std::size_t m_nextAddress = 0;
    std::optional<Announcement> m_announcement;
    bool m_joined = false;
    std::optional<std::set<std::string>> m_services; // all when empty
    bool m_needsWhole = false; // the services followed have changed since the last whole state
    kj::Own<kj::PromiseFulfiller<void>> m_interrupt; // of the call for changes in progress
};

} // namespace yuccahook::control
