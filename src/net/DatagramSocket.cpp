#include "net/DatagramSocket.h"

#include <cerrno>
#include <cstring>
#include <unistd.h>

namespace yuccahook::net {

namespace {

constexpr std::size_t batchSize = DatagramSocket::maximumBatchDatagrams;
constexpr int socketBufferBytes = 4 << 20;

} // namespace

/// The buffers and headers of one system call, initialized once.
struct DatagramSocket::Batch {
    std::array<mmsghdr, batchSize> headers {};
    std::array<iovec, batchSize> vectors {};
    std::array<sockaddr_storage, batchSize> addresses {};
    std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(batchSize * maximumDatagramBytes);

    Batch()
    {
        for (std::size_t index = 0; index < batchSize; ++index) {
            vectors[index] = { bytes.data() + index * maximumDatagramBytes, maximumDatagramBytes };
            headers[index].msg_hdr.msg_iov = &vectors[index];
            headers[index].msg_hdr.msg_iovlen = 1;
            headers[index].msg_hdr.msg_name = &addresses[index];
            headers[index].msg_hdr.msg_namelen = sizeof(sockaddr_storage);
        }
    }
};

DatagramSocket::DatagramSocket(int descriptor)
    : m_descriptor(descriptor)
{
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
}

DatagramSocket::~DatagramSocket() { close(m_descriptor); }

std::unique_ptr<DatagramSocket> DatagramSocket::bound(const Address& address, bool reusePort)
{
    const int descriptor = socket(address.isIpv4() ? AF_INET : AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    auto created = std::unique_ptr<DatagramSocket>(new DatagramSocket(descriptor));
    const int enabled = reusePort ? 1 : 0;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
    sockaddr_storage storage {};
    const socklen_t length = address.toSocket(storage);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&storage), length) != 0)
        return nullptr;
    return created;
}

std::unique_ptr<DatagramSocket> DatagramSocket::connected(const Address& peer)
{
    const int descriptor = socket(peer.isIpv4() ? AF_INET : AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    auto created = std::unique_ptr<DatagramSocket>(new DatagramSocket(descriptor));
    sockaddr_storage storage {};
    const socklen_t length = peer.toSocket(storage);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&storage), length) != 0)
        return nullptr;
    return created;
}

Address DatagramSocket::localAddress() const
{
    sockaddr_storage storage {};
    socklen_t length = sizeof(storage);
    getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&storage), &length);
    return Address::fromSocket(storage);
}

std::size_t DatagramSocket::receive(const std::function<void(const Address&, Bytes)>& handler)
{
    thread_local Batch batch; // shared by all sockets of the thread, because an agent has one socket for each flow
    for (auto& header : batch.headers)
        header.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
    const int count = recvmmsg(m_descriptor, batch.headers.data(), batchSize, MSG_DONTWAIT, nullptr);
    for (int index = 0; index < count; ++index) {
        if (batch.headers[index].msg_hdr.msg_flags & MSG_TRUNC)
            continue;
        const auto* begin = static_cast<const std::uint8_t*>(batch.vectors[index].iov_base);
        handler(Address::fromSocket(batch.addresses[index]), { begin, batch.headers[index].msg_len });
    }
    return count > 0 ? count : 0;
}

bool DatagramSocket::sendNow(Bytes bytes)
{
    return send(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL) >= 0;
}

void DatagramSocket::queue(const Address& to, Bytes bytes)
{
    if (bytes.size() > maximumDatagramBytes) {
        ++m_dropped;
        return;
    }
    if (!m_outgoing)
        m_outgoing = std::make_unique<Batch>();
    Batch& batch = *m_outgoing;
    mmsghdr& header = batch.headers[m_queued];
    std::memcpy(batch.vectors[m_queued].iov_base, bytes.data(), bytes.size());
    batch.vectors[m_queued].iov_len = bytes.size();
    header.msg_hdr.msg_namelen = to.toSocket(batch.addresses[m_queued]);
    if (++m_queued == batchSize)
        flush();
}

void DatagramSocket::flush()
{
    std::size_t sent = 0;
    while (sent < m_queued) {
        const int count = sendmmsg(m_descriptor, &m_outgoing->headers[sent], m_queued - sent, MSG_DONTWAIT);
        if (count > 0) {
            sent += count;
            continue;
        }
        if (errno == EAGAIN) {
            m_dropped += m_queued - sent;
            break;
        }
        ++m_dropped; // one refused datagram does not block those after it
        ++sent;
    }
    m_queued = 0;
}

} // namespace yuccahook::net
