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

/// The traffic of one thread of a balancer.
class BalancerTraffic {
public:
    BalancerTraffic(const settings::BalancerSettings& settings, net::EventLoop& loop, observe::Counters& counters,
        std::atomic<std::uint64_t>& openStreams);
    ~BalancerTraffic();
    BalancerTraffic(const BalancerTraffic&) = delete;
    BalancerTraffic& operator=(const BalancerTraffic&) = delete;

    void setMembership(flow::MembershipPointer membership);

    /// Takes no new streams; open ones go on.
    void drain();

private:
    class Stream;
    friend class Stream;

    /// What listens for one service.
    struct Entrance {
        net::Address address;
        std::unique_ptr<net::DatagramSocket> datagrams;
        kj::Own<kj::UnixEventPort::FdObserver> observer;
        kj::Own<kj::ConnectionReceiver> streams;
        kj::Promise<void> task = nullptr;
        bool closing = false; ///< Of a withdrawn service; only open flows still use it.
    };

    net::Address entranceAddress(const flow::ServiceSpec& service) const;
    void openEntrance(const flow::ServiceSpec& service);
    void withdrawEntrance(const flow::ServiceSpec& service);
    void releaseAddress(const net::Address& address);
    kj::Promise<void> takeCallers(std::uint32_t service, Entrance& entrance);
    kj::Promise<void> takeTrunk();
    kj::Promise<void> acceptStreams(std::uint32_t service, Entrance& entrance);
    void fromCaller(std::uint32_t service, const net::Address& caller, net::Bytes payload);
    void fromAgent(const net::TrunkDatagram& datagram);
    void startStream(std::uint32_t service, kj::Own<kj::AsyncIoStream> stream);
    void refused(flow::RefusalReason reason);

    const settings::BalancerSettings m_settings;
    net::EventLoop& m_loop;
    observe::Counters& m_counters;
    std::atomic<std::uint64_t>& m_openStreams;
    std::unique_ptr<flow::BucketMap> m_map;
    std::map<std::uint32_t, std::unique_ptr<Entrance>> m_entrances; // by service id
    std::unique_ptr<net::DatagramSocket> m_trunk;
    kj::Own<kj::UnixEventPort::FdObserver> m_trunkObserver;
    net::TrunkEncoder m_buffer;
    flow::HintCache m_hints; // of datagram flows
    net::TrunkPool m_pool;
    std::map<std::uint64_t, kj::Own<Stream>> m_streams; // by stream id
    std::mt19937_64 m_random;
    bool m_draining = false;
    observe::Counter& m_datagramsIn;
    observe::Counter& m_datagramsOut;
};

} // namespace yuccahook::roles
