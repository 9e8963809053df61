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

/// A non-blocking UDP socket that reads and writes in batches. Nothing is allocated per datagram.
class DatagramSocket {
public:
    static constexpr std::size_t maximumDatagramBytes = 2048;
    static constexpr std::size_t batchDatagrams = 64; ///< Most that one `receive` reads.

    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;
    ~DatagramSocket();

    /// A socket bound to the address (port 0: any), shared by threads when `reusePort`; null with errno set.
    static std::unique_ptr<DatagramSocket> bound(const Address& address, bool reusePort = false);

    /// A socket that sends to and receives from one address only.
    static std::unique_ptr<DatagramSocket> connected(const Address& peer);

    int descriptor() const { return m_descriptor; }
    Address localAddress() const;

    /// Reads a batch of what has arrived and calls `take` for each datagram; returns their number. A datagram over
    /// the maximum is passed over.
    std::size_t receive(const std::function<void(const Address&, Bytes)>& take);

    /// Sends one datagram of a connected socket; false when the system refuses it.
    bool sendNow(Bytes bytes);

    /// Queues a copy for the next `flush`; flushes by itself when the batch is full.
    void queue(const Address& to, Bytes bytes);

    /// Sends what is queued; what the system refuses is dropped, as a network may, and counted.
    void flush();

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
