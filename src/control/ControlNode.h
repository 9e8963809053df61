#pragma once

#include "control/ClusterState.h"
#include "control/EvacuationLog.h"
#include "control/LeaseTable.h"
#include "control/QuorumLog.h"
#include "control/ViewCache.h"
#include "kernel/Service.h"
#include "net/EventLoopThread.h"
#include "net/HttpMessage.h"
#include "net/OperatorServer.h"
#include "observe/Counters.h"
#include "observe/Histogram.h"
#include "settings/Settings.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccahook::control {

/// A control instance: serves balancers, agents and operators from the replicated state.
class ControlNode final : public kernel::Service {
public:
    static constexpr std::string_view serviceName = "control";

    /// Adds its HTTP routes to `operatorServer`.
    ControlNode(
        const settings::ControlSettings& settings, net::OperatorServer& operatorServer, observe::Counters& counters);
    ~ControlNode() noexcept override;

    std::string_view name() const override { return serviceName; }
    bool start() override;

    /// Transfers the leadership first, for which it waits two seconds at most.
    void stop() override;

    /// Publishes a route table and waits until it is durable; from any thread. A table that is not newer than the one
    /// in force changes nothing and is `Committed` too. After 900 ms the result is `NoQuorum`, and the table may still
    /// take effect later.
    ProposeStatus publishRouteTable(flow::RouteTable table);

    /// The route table in force, as its operator sent it, or the reason why it could not be read.
    struct RouteTableReading {
        ProposeStatus status = ProposeStatus::NoQuorum;
        std::uint64_t version = 0; ///< 0 when no table was published yet.
        std::string document;
    };

    /// Reads the route table in force, which includes every table committed before the call; from any thread. The
    /// result is `NoQuorum` after a wait of 900 ms.
    RouteTableReading readRouteTable();

    /// Starts or ends the evacuation of a failure domain and waits until the order is durable; from any thread. An
    /// order that changes nothing is `Committed` too. After 900 ms the result is `NoQuorum`, and the order may still
    /// take effect later, so its operator repeats it.
    ProposeStatus setEvacuation(const SetEvacuation& order);

    /// Directs a request to an instance that takes it, with 307, or responds with 503 when none is known. Nothing on an
    /// instance with a disk, which takes all requests itself. From any thread.
    std::optional<net::HttpResponse> redirect(const net::HttpRequest& request);

    /// Adds control instances to contact in search of the quorum, by RPC address; from any thread.
    void addDiscoveryPeers(const std::vector<net::Address>& addresses);

private:
    class RpcServer;
    friend class RpcServer;

    /// The revision that a subscriber had in force when it last requested changes.
    struct Subscriber {
        std::uint64_t revision = 0;
        LeaseTable::Time lastSeen {};
    };

    void setUp(net::EventLoop& loop);
    void tearDown();
    kj::Promise<void> checkLeasesPeriodically();
    LeaseTable::Time now() const;
    void removeExpiredMembers();
    void proposeMemberUpdate();
    ProposeStatus proposeAndWait(
        EncodedCommand command, const std::function<void()>& whenCommitted,
        const std::function<bool()>& isInForce = [] { return false; });
    void proposeWithRetry(std::shared_ptr<const EncodedCommand> command, const std::function<bool()>& isInForce,
        kj::TimePoint deadline, std::function<void(ProposeStatus)> done);
    kj::Promise<void> waitForNewerRevision(std::uint64_t revision);
    void wakeSubscribers();
    net::HttpResponse runOnControlThread(std::function<void(net::HttpResponse&, std::function<void()>)> work);
    void addOperatorRoute(net::OperatorServer& server, std::string_view path, net::OperatorServer::Handler handler);
    net::HttpResponse submitNote(const net::HttpRequest& request);
    net::HttpResponse dryRunNote(const net::HttpRequest& request);
    net::HttpResponse showNote(const std::string& number);
    net::HttpResponse showNotes(const net::HttpRequest& request);
    net::HttpResponse showMembers();
    net::HttpResponse showEvacuations();
    net::HttpResponse handleEvacuationRequest(const net::HttpRequest& request);
    void handleStateChange();

    const settings::ControlSettings m_settings;
    observe::Counters& m_counters;
    observe::Histogram m_proposalMillis;
    EvacuationLog m_evacuations;
    ControlWorkMeter m_workMeter; // written on the control thread
    net::EventLoopThread m_thread;

    // Control thread only.
    net::EventLoop* m_loop = nullptr;
    std::unique_ptr<ClusterState> m_state;
    std::unique_ptr<QuorumLog> m_log;
    kj::Own<capnp::TwoPartyServer> m_server;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    LeaseTable m_leases;
    ViewCache m_views;
    std::map<std::string, Subscriber> m_subscribers; // by name
    UpdateMembers m_pendingMembers;
    bool m_proposalInProgress = false;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_waitingSubscribers;
};

} // namespace yuccahook::control
