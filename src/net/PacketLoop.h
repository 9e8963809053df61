#pragma once

#include "net/DatagramSocket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace yuccahook::net {

/// A thread that reads datagram sockets in batches, runs work that other threads post, and calls a function at regular
/// intervals. Datagrams that are queued on the sockets are flushed in each iteration.
class PacketLoop {
public:
    using Work = std::function<void()>;
    using DatagramHandler = std::function<void(const Address&, Bytes)>;

    explicit PacketLoop(std::string name);
    PacketLoop(const PacketLoop&) = delete;
    PacketLoop& operator=(const PacketLoop&) = delete;
    ~PacketLoop();

    /// Opens a socket that this loop owns, and calls `handler` on the loop's thread for each datagram. Returns null
    /// when the address cannot be bound. Call before `start`.
    DatagramSocket* openSocket(const Address& address, DatagramHandler handler);

    /// Sets the function that the loop calls every `millis` milliseconds. Call before `start`.
    void onTick(std::uint64_t millis, Work tick);

    /// Changes the interval, from the current one on. Call on the loop's thread.
    void setTickMillis(std::uint64_t millis);

    /// Starts the thread; false when the system has no descriptors left for the loop or a socket cannot be watched.
    bool start();

    /// Queues work from any thread. The queue is not bounded.
    void post(Work work);
    void stop();

    /// Milliseconds of a monotonic clock that continues while the machine is suspended.
    static std::uint64_t nowMillis();

private:
    struct Socket {
        std::unique_ptr<DatagramSocket> socket;
        DatagramHandler handler;
    };

    void run();
    void runPostedWork();

    const std::string m_name;
    std::vector<Socket> m_sockets;
    std::uint64_t m_tickMillis = 1000;
    std::uint64_t m_nextTickMillis = 0;
    Work m_tick = [] {};
    int m_epollDescriptor = -1;
    int m_wakeDescriptor = -1;
    std::mutex m_mutex;
    std::vector<Work> m_postedWork; // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    std::thread m_thread;
};

} // namespace yuccahook::net
