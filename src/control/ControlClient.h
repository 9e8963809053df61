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

/// Connects a process to the control instances: receives each newer membership and announces the process's agent. Its
/// loop is the process's control thread.
class ControlClient final : public kernel::Service {
public:
    using MembershipListener = std::function<void(flow::MembershipPointer)>;

    static constexpr std::string_view serviceName = "control-client";

    /// `subscriber` is the name of the process; `addresses` are RPC addresses of control instances. The name decides
    /// which of them is tried first.
    ControlClient(std::string subscriber, std::vector<net::Address> addresses);
    ~ControlClient() noexcept override;

    std::string_view name() const override { return serviceName; }
    bool start() override;
    void stop() override;

    /// Adds a listener that is called on the control thread with each newer membership. Call before `start`.
    void onMembership(MembershipListener listener);

    /// Receives only the announced service and its members instead of all services. Call before `start`.
    void followAnnouncedServiceOnly() { m_services.emplace(); }

    /// Adds RPC addresses of control instances; from any thread.
    void addControlAddresses(const std::vector<net::Address>& addresses);

    /// Announces this from now on, in place of an earlier announcement; from any thread.
    void announce(const Announcement& announcement);

    /// The newest membership; an empty one before the first reply of a control instance. From any thread.
    flow::MembershipPointer membership() const;

    /// Milliseconds since a control instance that was up to date with a quorum last replied, or since construction;
    /// from any thread.
    std::uint64_t stalenessMillis() const;

private:
    struct Connection;

    void publish(flow::MembershipPointer membership);
    void logContactLost(const kj::Exception& exception) const;
    void addNewAddresses(const std::vector<net::Address>& addresses);
    kj::Promise<void> keepConnected();
    kj::Promise<void> connect(std::size_t attempt);
    kj::Promise<void> followChanges();
    kj::Promise<void> requestChanges();
    void handleDelta(const flow::MembershipDelta& delta, bool requestedFull);
    void followService(const std::string& service);
    kj::Promise<void> announcePeriodically();
    kj::Promise<void> sendAnnouncement();

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
    std::vector<net::Address> m_addresses; // most recently learned first
    std::size_t m_nextAddress = 0;
    std::optional<Announcement> m_announcement;
    bool m_joined = false;
    std::optional<std::set<std::string>> m_services; // names of the followed services; all when not set
    bool m_needsFullDelta = false; // the followed services have changed since the last full delta
    kj::Own<kj::PromiseFulfiller<void>> m_interruptChanges; // ends the call for changes in progress
};

} // namespace yuccahook::control
