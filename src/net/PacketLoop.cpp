#include "net/PacketLoop.h"

#include "observe/Log.h"

#include <array>
#include <cerrno>
#include <ctime>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace yuccahook::net {

namespace {

constexpr std::size_t maximumBatchesPerTurn = 4; // batches read from one socket before the others are read

} // namespace

PacketLoop::PacketLoop(std::string name)
    : m_name(std::move(name))
    , m_epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

PacketLoop::~PacketLoop()
{
    stop();
    close(m_epollDescriptor);
    close(m_wakeDescriptor);
}

std::uint64_t PacketLoop::nowMillis()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::uint64_t(now.tv_sec) * 1000 + std::uint64_t(now.tv_nsec) / 1'000'000;
}

DatagramSocket* PacketLoop::openSocket(const Address& address, DatagramHandler handler)
{
    auto socket = DatagramSocket::bound(address);
    if (!socket) {
        observe::log(
            observe::Level::Error, "packet-address-unavailable", { { "address", address.text() }, { "errno", errno } });
        return nullptr;
    }
    m_sockets.push_back({ std::move(socket), std::move(handler) });
    return m_sockets.back().socket.get();
}

void PacketLoop::onTick(std::uint64_t millis, Work tick)
{
    m_tickMillis = millis;
    m_tick = std::move(tick);
}

void PacketLoop::setTickMillis(std::uint64_t millis)
{
    m_tickMillis = millis;
    m_nextTickMillis = std::min(m_nextTickMillis, nowMillis() + millis);
}

bool PacketLoop::start()
{
    if (m_epollDescriptor < 0 || m_wakeDescriptor < 0)
        return false;
    const auto watch = [this](int descriptor, std::uint64_t index) {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.u64 = index;
        return epoll_ctl(m_epollDescriptor, EPOLL_CTL_ADD, descriptor, &event) == 0;
    };
    bool watched = watch(m_wakeDescriptor, m_sockets.size());
    for (std::size_t index = 0; index < m_sockets.size(); ++index)
        watched = watched && watch(m_sockets[index].socket->descriptor(), index);
    if (watched)
        m_thread = std::thread([this] { run(); });
    return watched;
}

void PacketLoop::post(Work work)
{
    {
        const std::lock_guard lock(m_mutex);
        m_postedWork.push_back(std::move(work));
        if (m_postedWork.size() > 1)
            return; // earlier work has already woken the loop
    }
    eventfd_write(m_wakeDescriptor, 1);
}

void PacketLoop::stop()
{
    if (!m_thread.joinable())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    eventfd_write(m_wakeDescriptor, 1);
    m_thread.join();
}

void PacketLoop::runPostedWork()
{
    eventfd_t count = 0;
    eventfd_read(m_wakeDescriptor, &count);
    std::vector<Work> posted;
    {
        const std::lock_guard lock(m_mutex);
        posted = std::exchange(m_postedWork, {});
    }
    for (const auto& work : posted)
        work();
}

void PacketLoop::run()
{
    std::array<epoll_event, 8> events {};
    m_nextTickMillis = nowMillis();
    for (;;) {
        const std::uint64_t now = nowMillis();
        if (now >= m_nextTickMillis) {
            m_nextTickMillis = now + m_tickMillis;
            m_tick();
        }
        for (auto& entry : m_sockets)
            entry.socket->flush();
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
        }
        const int timeout = static_cast<int>(m_nextTickMillis - std::min(now, m_nextTickMillis));
        const int count = epoll_wait(m_epollDescriptor, events.data(), events.size(), timeout);
        for (int index = 0; index < count; ++index) {
            const std::uint64_t socket = events[index].data.u64;
            if (socket == m_sockets.size()) {
                runPostedWork();
                continue;
            }
            auto& entry = m_sockets[socket];
            for (std::size_t batch = 0; batch < maximumBatchesPerTurn; ++batch) {
                if (entry.socket->receive(entry.handler) < DatagramSocket::maximumBatchDatagrams)
                    break;
            }
        }
    }
}

} // namespace yuccahook::net
