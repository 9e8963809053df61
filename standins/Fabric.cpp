#include "Fabric.h"

#include "Record.h"

#include "net/DatagramSocket.h"

#include <csignal>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/debug.h>
#include <list>
#include <map>
#include <random>

namespace yuccahook::standins {

namespace {

constexpr int silenceSignal = SIGUSR2;
constexpr std::size_t relayBufferBytes = 16 << 10;

/// An address that callers use and the addresses of the balancers that serve it.
struct Mapping {
    net::Address listen;
    std::vector<net::Address> balancers;
};

Mapping parseMapping(const std::string& text)
{
    const auto sides = split(text, '=');
    Mapping mapping { addressOrExit(sides.front()), {} };
    for (const auto& balancer : split(sides.back(), ','))
        mapping.balancers.push_back(addressOrExit(balancer));
    return mapping;
}

class Fabric final : private kj::TaskSet::ErrorHandler {
public:
    Fabric(const Options& options, kj::AsyncIoContext& io)
        : m_io(io)
        , m_random(options.number("seed", 1))
        , m_lossPercent(options.number("lose-percent", 0))
        , m_record(options.text("record"))
        , m_tasks(*this)
    {
        for (const auto& text : options.all("datagram"))
            listenForDatagrams(parseMapping(text));
        for (const auto& text : options.all("stream"))
            listenForConnections(parseMapping(text));
        m_tasks.add(silenceOnSignal());
    }

private:
    struct Socket {
        std::unique_ptr<net::DatagramSocket> socket;
        kj::Own<kj::UnixEventPort::FdObserver> observer;
    };

    /// One direction of a relayed connection.
    struct Direction {
        std::uint64_t silenceCount; ///< The fabric's count when the connection began.
        kj::byte bytes[relayBufferBytes];
    };

    /// Receives callers' datagrams at one address and returns the answers.
    struct DatagramListener {
        Mapping mapping;
        Socket callers;
        std::map<net::Address, Socket>
            balancerSockets; // one for each caller: balancers see its address as the caller's
    };

    // At the signal every open connection goes silent for good, as when a device on its path has lost the state of the
    // connection. New connections work.
    kj::Promise<void> silenceOnSignal()
    {
        return m_io.unixEventPort.onSignal(silenceSignal).then([this](auto&&) {
            m_record.write({ { "event", "silenced" }, { "connections", m_connections } });
            ++m_silenceCount;
            return silenceOnSignal();
        });
    }

    // Relays bytes until the connection goes silent. From then on discards them, and never reports the end of the
    // stream.
    kj::Promise<void> relay(Direction& direction, kj::AsyncInputStream& from, kj::AsyncOutputStream& to)
    {
        return from.tryRead(direction.bytes, 1, sizeof(direction.bytes))
            .then([this, &direction, &from, &to](std::size_t count) -> kj::Promise<void> {
                const bool silent = direction.silenceCount != m_silenceCount;
                if (count == 0)
                    return silent ? kj::Promise<void>(kj::NEVER_DONE) : kj::Promise<void>(kj::READY_NOW);
                auto passed = silent ? kj::Promise<void>(kj::READY_NOW) : to.write(direction.bytes, count);
                return passed.then([this, &direction, &from, &to] { return relay(direction, from, to); });
            });
    }

    Socket observe(std::unique_ptr<net::DatagramSocket> socket)
    {
        KJ_REQUIRE(socket != nullptr, "cannot bind a datagram socket");
        auto observer = kj::heap<kj::UnixEventPort::FdObserver>(
            m_io.unixEventPort, socket->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
        return { std::move(socket), kj::mv(observer) };
    }

    void listenForDatagrams(Mapping mapping)
    {
        auto callers = observe(net::DatagramSocket::bound(mapping.listen));
        m_datagramListeners.push_back({ std::move(mapping), std::move(callers), {} });
        m_tasks.add(forwardFromCallers(m_datagramListeners.back()));
    }

    kj::Promise<void> forwardFromCallers(DatagramListener& listener)
    {
        while (listener.callers.socket->receive([&](const net::Address& caller, net::Bytes payload) {
            if (m_random() % 100 < m_lossPercent)
                return;
            Socket& socket = balancerSocket(listener, caller);
            const auto& balancers = listener.mapping.balancers;
            socket.socket->queue(balancers[m_random() % balancers.size()], payload);
            socket.socket->flush();
        }) > 0) { }
        return listener.callers.observer->whenBecomesReadable().then(
            [this, &listener] { return forwardFromCallers(listener); });
    }

    Socket& balancerSocket(DatagramListener& listener, const net::Address& caller)
    {
        const auto found = listener.balancerSockets.find(caller);
        if (found != listener.balancerSockets.end())
            return found->second;
        const auto loopback = *net::Address::parseHost("127.0.0.1", 0);
        auto& socket
            = listener.balancerSockets.emplace(caller, observe(net::DatagramSocket::bound(loopback))).first->second;
        // Deferred, since this runs while a batch of received datagrams is handled and the thread's sockets share the
        // batch buffers.
        m_tasks.add(kj::evalLater(
            [this, &listener, caller, &socket] { return forwardFromBalancers(listener, caller, socket); }));
        return socket;
    }

    kj::Promise<void> forwardFromBalancers(DatagramListener& listener, net::Address caller, Socket& socket)
    {
        while (socket.socket->receive([&](const net::Address&, net::Bytes payload) {
            listener.callers.socket->queue(caller, payload);
        }) > 0)
            listener.callers.socket->flush();
        return socket.observer->whenBecomesReadable().then(
            [this, &listener, caller, &socket] { return forwardFromBalancers(listener, caller, socket); });
    }

    kj::Own<kj::NetworkAddress> networkAddress(const net::Address& address)
    {
        sockaddr_storage storage {};
        const socklen_t length = address.toSocket(storage);
        return m_io.provider->getNetwork().getSockaddr(&storage, length);
    }

    void listenForConnections(Mapping mapping)
    {
        auto receiver = networkAddress(mapping.listen)->listen();
        auto& accepting = *receiver;
        m_tasks.add(accept(accepting, std::move(mapping)).attach(kj::mv(receiver)));
    }

    kj::Promise<void> accept(kj::ConnectionReceiver& receiver, Mapping mapping)
    {
        return receiver.accept().then([this, &receiver, mapping = std::move(mapping)](auto caller) mutable {
            const std::string from = peerAddress(*caller);
            m_tasks.add(
                connectToAny(mapping.balancers).then([this, from, caller = kj::mv(caller)](auto balancer) mutable {
                    ++m_connections;
                    m_record.write({ { "event", "joined" }, { "from", from }, { "to", peerAddress(*balancer) } });
                    return relayConnection(kj::mv(caller), kj::mv(balancer));
                }));
            return accept(receiver, std::move(mapping));
        });
    }

    // Connects to a random balancer and tries another when it refuses, as a fabric skips a dead next hop.
    kj::Promise<kj::Own<kj::AsyncIoStream>> connectToAny(std::vector<net::Address> balancers)
    {
        KJ_REQUIRE(!balancers.empty(), "every balancer refused the connection");
        const std::size_t index = m_random() % balancers.size();
        auto target = networkAddress(balancers[index]);
        balancers.erase(balancers.begin() + index);
        auto connecting = target->connect().attach(kj::mv(target));
        return connecting.catch_([this, balancers = std::move(balancers)](
                                     kj::Exception&&) mutable { return connectToAny(std::move(balancers)); });
    }

    kj::Promise<void> relayConnection(kj::Own<kj::AsyncIoStream> caller, kj::Own<kj::AsyncIoStream> balancer)
    {
        auto& callerStream = *caller;
        auto& balancerStream = *balancer;
        auto failure = kj::newPromiseAndFulfiller<void>(); // the failure of one direction ends both
        auto fulfiller = kj::heap(kj::mv(failure.fulfiller));
        auto directions = kj::heapArray<Direction>(2);
        directions[0].silenceCount = directions[1].silenceCount = m_silenceCount;
        // On a silent connection a failure is ignored too: neither end learns that the other has closed.
        const auto handleFailure
            = [this, began = m_silenceCount, &end = **fulfiller](kj::Exception&&) -> kj::Promise<void> {
            if (began != m_silenceCount)
                return kj::NEVER_DONE;
            end.fulfill();
            return kj::READY_NOW;
        };
        auto toBalancer = relay(directions[0], callerStream, balancerStream)
                              .then([&balancerStream] { balancerStream.shutdownWrite(); })
                              .catch_(kj::cp(handleFailure))
                              .eagerlyEvaluate(nullptr);
        auto toCaller = relay(directions[1], balancerStream, callerStream)
                            .then([&callerStream] { callerStream.shutdownWrite(); })
                            .catch_(kj::cp(handleFailure))
                            .eagerlyEvaluate(nullptr);
        return kj::joinPromises(kj::arr(kj::mv(toBalancer), kj::mv(toCaller)))
            .exclusiveJoin(kj::mv(failure.promise))
            .attach(kj::mv(fulfiller), kj::mv(directions), kj::mv(caller), kj::mv(balancer));
    }

    static std::string peerAddress(kj::AsyncIoStream& stream)
    {
        sockaddr_storage storage {};
        kj::uint length = sizeof(storage);
        stream.getpeername(reinterpret_cast<sockaddr*>(&storage), &length);
        return net::Address::fromSocket(storage).text();
    }

    void taskFailed(kj::Exception&&) override { }

    kj::AsyncIoContext& m_io;
    std::mt19937_64 m_random;
    const std::uint64_t m_lossPercent;
    Record m_record;
    std::uint64_t m_silenceCount = 0; ///< Silence signals received so far.
    std::uint64_t m_connections = 0; ///< Connected to a balancer so far.
    std::list<DatagramListener> m_datagramListeners;
    kj::TaskSet m_tasks;
};

} // namespace

int runFabric(const Options& options)
{
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(silenceSignal);
    auto io = kj::setupAsyncIo();
    Fabric fabric(options, io);
    io.unixEventPort.onSignal(SIGTERM).wait(io.waitScope);
    return 0;
}

} // namespace yuccahook::standins
