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
constexpr std::size_t carrierBytes = 16 << 10;

/// An address that callers use, and the balancers' addresses behind it.
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
        , m_losePercent(options.number("lose-percent", 0))
        , m_record(options.text("record"))
        , m_tasks(*this)
    {
        for (const auto& text : options.all("datagram"))
            openDatagrams(parseMapping(text));
        for (const auto& text : options.all("stream"))
            openStreams(parseMapping(text));
        m_tasks.add(silenceAtSignal());
    }

private:
    struct Socket {
        std::unique_ptr<net::DatagramSocket> socket;
        kj::Own<kj::UnixEventPort::FdObserver> observer;
    };

    /// One direction of a connection.
    struct Carrier {
        std::uint64_t silences; ///< How many there had been when the connection began.
        kj::byte bytes[carrierBytes];
    };

    struct Entrance {
        Mapping mapping;
        Socket callers;
        std::map<net::Address, Socket> towardsBalancers; // one for each caller, which is its address there
    };

    // What is open goes silent for good, as when something on the way has lost track of it; new connections work.
    kj::Promise<void> silenceAtSignal()
    {
        return m_io.unixEventPort.onSignal(silenceSignal).then([this](auto&&) {
            m_record.write({ { "event", "silenced" }, { "connections", m_connections } });
            ++m_silences;
            return silenceAtSignal();
        });
    }

    // Passes bytes on until the connection has gone silent; from then on swallows them and never ends.
    kj::Promise<void> carry(Carrier& carrier, kj::AsyncInputStream& from, kj::AsyncOutputStream& to)
    {
        return from.tryRead(carrier.bytes, 1, sizeof(carrier.bytes))
            .then([this, &carrier, &from, &to](std::size_t count) -> kj::Promise<void> {
                const bool silent = carrier.silences != m_silences;
                if (count == 0)
                    return silent ? kj::Promise<void>(kj::NEVER_DONE) : kj::Promise<void>(kj::READY_NOW);
                auto passed = silent ? kj::Promise<void>(kj::READY_NOW) : to.write(carrier.bytes, count);
                return passed.then([this, &carrier, &from, &to] { return carry(carrier, from, to); });
            });
    }

    Socket observed(std::unique_ptr<net::DatagramSocket> socket)
    {
        KJ_REQUIRE(socket != nullptr, "cannot bind");
        auto observer = kj::heap<kj::UnixEventPort::FdObserver>(
            m_io.unixEventPort, socket->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
        return { std::move(socket), kj::mv(observer) };
    }

    void openDatagrams(Mapping mapping)
    {
        auto callers = observed(net::DatagramSocket::bound(mapping.listen));
        m_entrances.push_back({ std::move(mapping), std::move(callers), {} });
        m_tasks.add(fromCallers(m_entrances.back()));
    }

    kj::Promise<void> fromCallers(Entrance& entrance)
    {
        while (entrance.callers.socket->receive([&](const net::Address& caller, net::Bytes payload) {
            if (m_random() % 100 < m_losePercent)
                return;
            Socket& socket = socketOf(entrance, caller);
            const auto& balancers = entrance.mapping.balancers;
            socket.socket->queue(balancers[m_random() % balancers.size()], payload);
            socket.socket->flush();
        }) > 0) { }
        return entrance.callers.observer->whenBecomesReadable().then(
            [this, &entrance] { return fromCallers(entrance); });
    }

    Socket& socketOf(Entrance& entrance, const net::Address& caller)
    {
        const auto found = entrance.towardsBalancers.find(caller);
        if (found != entrance.towardsBalancers.end())
            return found->second;
        const auto any = *net::Address::parseHost("127.0.0.1", 0);
        auto& socket
            = entrance.towardsBalancers.emplace(caller, observed(net::DatagramSocket::bound(any))).first->second;
        // Later: this runs inside a batch of received datagrams, which the thread's sockets share.
        m_tasks.add(
            kj::evalLater([this, &entrance, caller, &socket] { return fromBalancers(entrance, caller, socket); }));
        return socket;
    }

    kj::Promise<void> fromBalancers(Entrance& entrance, net::Address caller, Socket& socket)
    {
        while (socket.socket->receive([&](const net::Address&, net::Bytes payload) {
            entrance.callers.socket->queue(caller, payload);
        }) > 0)
            entrance.callers.socket->flush();
        return socket.observer->whenBecomesReadable().then(
            [this, &entrance, caller, &socket] { return fromBalancers(entrance, caller, socket); });
    }

    kj::Own<kj::NetworkAddress> networkAddress(const net::Address& address)
    {
        sockaddr_storage storage {};
        const socklen_t length = address.toSocket(storage);
        return m_io.provider->getNetwork().getSockaddr(&storage, length);
    }

    void openStreams(Mapping mapping)
    {
        auto receiver = networkAddress(mapping.listen)->listen();
        auto& accepting = *receiver;
        m_tasks.add(accept(accepting, std::move(mapping)).attach(kj::mv(receiver)));
    }

    kj::Promise<void> accept(kj::ConnectionReceiver& receiver, Mapping mapping)
    {
        return receiver.accept().then([this, &receiver, mapping = std::move(mapping)](auto caller) mutable {
            const std::string from = peerOf(*caller);
            m_tasks.add(
                connectAny(mapping.balancers).then([this, from, caller = kj::mv(caller)](auto balancer) mutable {
                    ++m_connections;
                    m_record.write({ { "event", "joined" }, { "from", from }, { "to", peerOf(*balancer) } });
                    return join(kj::mv(caller), kj::mv(balancer));
                }));
            return accept(receiver, std::move(mapping));
        });
    }

    // A balancer that refuses the connection is passed over, as a fabric passes over a dead next hop.
    kj::Promise<kj::Own<kj::AsyncIoStream>> connectAny(std::vector<net::Address> balancers)
    {
        KJ_REQUIRE(!balancers.empty(), "no balancer takes connections");
        const std::size_t index = m_random() % balancers.size();
        auto target = networkAddress(balancers[index]);
        balancers.erase(balancers.begin() + index);
        auto connecting = target->connect().attach(kj::mv(target));
        return connecting.catch_([this, balancers = std::move(balancers)](
                                     kj::Exception&&) mutable { return connectAny(std::move(balancers)); });
    }

    kj::Promise<void> join(kj::Own<kj::AsyncIoStream> caller, kj::Own<kj::AsyncIoStream> balancer)
    {
        auto& left = *caller;
        auto& right = *balancer;
        auto failed = kj::newPromiseAndFulfiller<void>(); // one direction's failure ends both
        auto fulfiller = kj::heap(kj::mv(failed.fulfiller));
        auto carriers = kj::heapArray<Carrier>(2);
        carriers[0].silences = carriers[1].silences = m_silences;
        // A failure on a silent connection is swallowed too: neither end learns of the other's.
        const auto fail = [this, began = m_silences, &end = **fulfiller](kj::Exception&&) -> kj::Promise<void> {
            if (began != m_silences)
                return kj::NEVER_DONE;
            end.fulfill();
            return kj::READY_NOW;
        };
        auto there = carry(carriers[0], left, right)
                         .then([&right] { right.shutdownWrite(); })
                         .catch_(kj::cp(fail))
                         .eagerlyEvaluate(nullptr);
        auto back = carry(carriers[1], right, left)
                        .then([&left] { left.shutdownWrite(); })
                        .catch_(kj::cp(fail))
                        .eagerlyEvaluate(nullptr);
        return kj::joinPromises(kj::arr(kj::mv(there), kj::mv(back)))
            .exclusiveJoin(kj::mv(failed.promise))
            .attach(kj::mv(fulfiller), kj::mv(carriers), kj::mv(caller), kj::mv(balancer));
    }

    static std::string peerOf(kj::AsyncIoStream& stream)
    {
        sockaddr_storage storage {};
        kj::uint length = sizeof(storage);
        stream.getpeername(reinterpret_cast<sockaddr*>(&storage), &length);
        return net::Address::fromSocket(storage).text();
    }

    void taskFailed(kj::Exception&&) override { }

    kj::AsyncIoContext& m_io;
    std::mt19937_64 m_random;
    const std::uint64_t m_losePercent;
    Record m_record;
    std::uint64_t m_silences = 0;
    std::uint64_t m_connections = 0; ///< Taken so far.
    std::list<Entrance> m_entrances;
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
