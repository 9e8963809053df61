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

/// A thread that reads datagram sockets in batches, runs work that other threads queue, and ticks. What the sockets
/// have queued is sent at the end of each round.
class PacketLoop {
public:
    using Work = std::function<void()>;
    using Take = std::function<void(const Address&, Bytes)>;

    explicit PacketLoop(std::string name);
    PacketLoop(const PacketLoop&) = delete;
    PacketLoop& operator=(const PacketLoop&) = delete;
    ~PacketLoop();

    /// Opens a socket; null when the address is not to be had. Call before `start`.
    DatagramSocket* open(const Address& address, Take take);

    /// Called every `millis`. Call before `start`.
    void onTick(std::uint64_t millis, Work tick);

    /// False when the system has no more descriptors.
    bool start();

    /// Queues work from any thread.
    void post(Work work);
    void stop();

    /// Time that goes on while the machine is suspended.
    static std::uint64_t nowMillis();

private:
    struct Socket {
        std::unique_ptr<DatagramSocket> socket;
        Take take;
    };

    void run();
    void runPosted();

    const std::string m_name;
    std::vector<Socket> m_sockets;
    std::uint64_t m_tickMillis = 1000;
    Work m_tick = [] {};
    int m_poll = -1;
    int m_wake = -1;
    std::mutex m_mutex;
    std::vector<Work> m_posted; // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    std::thread m_thread;
};

} // namespace yuccahook::net
