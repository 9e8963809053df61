#pragma once

#include "net/Address.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace yuccahook::net {

using Bytes = std::span<const std::uint8_t>;

/// A non-blocking UDP socket that reads and writes in batches, without allocations per datagram. Not thread-safe.
class DatagramSocket {
public:
    static constexpr std::size_t maximumDatagramBytes = 2048;
    static constexpr std::size_t maximumBatchDatagrams = 64; ///< Maximum that one `receive` reads.

    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;
    ~DatagramSocket();

    /// Opens a socket that is bound to the address; port 0 chooses a free port. With `reusePort`, several sockets can
    /// be bound to the address. Returns null with errno set on failure.
    static std::unique_ptr<DatagramSocket> bound(const Address& address, bool reusePort = false);

    /// Opens a socket that sends to and receives from one address only; null on failure.
    static std::unique_ptr<DatagramSocket> connected(const Address& peer);

    int descriptor() const { return m_descriptor; }
    Address localAddress() const;

    /// Reads a batch of received datagrams, calls `handler` for each and returns the size of the batch. Datagrams over
    /// `maximumDatagramBytes` are skipped, but counted in the result. The bytes are valid until this thread receives
    /// another batch, from any socket.
    std::size_t receive(const std::function<void(const Address&, Bytes)>& handler);

    /// Sends one datagram on a connected socket; false when the operating system refuses it.
    bool sendNow(Bytes bytes);

    /// Queues a copy for the next `flush`, and flushes when the batch is full. Drops datagrams over the maximum size.
    void queue(const Address& to, Bytes bytes);

    /// Sends the queued datagrams. Those that the operating system refuses are dropped and counted.
    void flush();

    /// Datagrams dropped by `queue` and `flush` so far.
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Batch;

    explicit DatagramSocket(int descriptor);

    int m_descriptor;
    std::uint64_t m_dropped = 0;
    std::unique_ptr<Batch> m_outgoing;
    std::size_t m_queued = 0;
};

} // namespace yuccahook::net
