#pragma once

#include "flow/BucketMap.h"
#include "flow/HintCache.h"
#include "net/DatagramSocket.h"
#include "net/EventLoopThread.h"
#include "net/StreamRelay.h"
#include "net/TrunkDatagram.h"
#include "net/TrunkPool.h"
#include "observe/Counters.h"
#include "settings/Settings.h"

#include <atomic>
#include <kj/async-io.h>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace yuccahook::roles {

/// The streams and datagrams of one traffic thread of a balancer. Used on that thread only.
class BalancerTraffic {
public:
    BalancerTraffic(const settings::BalancerSettings& settings, net::EventLoop& loop, observe::Counters& counters,
        std::atomic<std::uint64_t>& openStreams);
    ~BalancerTraffic();
    BalancerTraffic(const BalancerTraffic&) = delete;
    BalancerTraffic& operator=(const BalancerTraffic&) = delete;

    void setMembership(flow::MembershipPointer membership);

    /// Stops accepting streams and asks agents to finish open HTTP streams; the other open streams continue.
    void drain();

private:
    class Stream;
    friend class Stream;

    /// Accepts the callers of one service.
    struct ServiceListener {
        net::Address address;
        std::unique_ptr<net::DatagramSocket> datagrams;
        kj::Own<kj::UnixEventPort::FdObserver> observer;
        kj::Own<kj::ConnectionReceiver> streams;
        kj::Promise<void> task = nullptr;
        bool closing = false; ///< The service is withdrawn; only its open flows still use this listener.
    };

    net::Address listenAddress(const flow::ServiceSpec& service) const;
    void openListener(const flow::ServiceSpec& service);
    void withdrawListener(const flow::ServiceSpec& service);
    void releaseAddress(const net::Address& address);
    kj::Promise<void> receiveFromCallers(std::uint32_t service, ServiceListener& listener);
    kj::Promise<void> receiveFromTrunk();
    kj::Promise<void> acceptStreams(std::uint32_t service, ServiceListener& listener);
    void forwardToAgent(std::uint32_t service, const net::Address& caller, net::Bytes payload);
    void handleAgentDatagram(const net::TrunkDatagram& datagram);
    void startStream(std::uint32_t service, kj::Own<kj::AsyncIoStream> stream);
    void countRefusal(flow::RefusalReason reason);

    const settings::BalancerSettings m_settings;
    net::EventLoop& m_loop;
    observe::Counters& m_counters;
    std::atomic<std::uint64_t>& m_openStreams;
    std::unique_ptr<flow::BucketMap> m_map;
    std::map<std::uint32_t, std::unique_ptr<ServiceListener>> m_listeners; // by service id
    std::unique_ptr<net::DatagramSocket> m_trunk;
    kj::Own<kj::UnixEventPort::FdObserver> m_trunkObserver;
    net::TrunkEncoder m_encoder;
    flow::HintCache m_hints; // holders of datagram flows
    net::TrunkPool m_pool;
    std::map<std::uint64_t, kj::Own<Stream>> m_streams; // by stream id
    std::mt19937_64 m_random;
    bool m_draining = false;
    observe::Counter& m_datagramsIn;
    observe::Counter& m_datagramsOut;
};

} // namespace yuccahook::roles
