#pragma once

#include "kernel/BoundedQueue.h"

#include <functional>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <string>
#include <thread>

namespace yuccahook::net {

/// The event loop of a thread, for code that runs on that thread.
class EventLoop : private kj::TaskSet::ErrorHandler {
public:
    EventLoop(kj::AsyncIoContext& io, std::string name);
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;
    ~EventLoop() noexcept(false) = default;

    kj::Timer& timer() { return m_io.provider->getTimer(); }
    kj::Network& network() { return m_io.provider->getNetwork(); }
    kj::LowLevelAsyncIoProvider& lowLevel() { return *m_io.lowLevelProvider; }
    kj::UnixEventPort& eventPort() { return m_io.unixEventPort; }
    kj::WaitScope& waitScope() { return m_io.waitScope; }

    /// Keeps a promise until it ends; a failure is logged as task-failed.
    void spawn(kj::Promise<void> task) { m_tasks->add(kj::mv(task)); }

    /// Cancels all spawned tasks.
    void cancelAll() { m_tasks = kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this)); }

private:
    void taskFailed(kj::Exception&& exception) override;

    kj::AsyncIoContext& m_io;
    std::string m_name;
    kj::Own<kj::TaskSet> m_tasks;
};

/// A thread with an event loop. State that belongs to the loop is used on its thread only; other threads post work to
/// it through a bounded queue.
class EventLoopThread {
public:
    using Work = std::function<void(EventLoop&)>;

    EventLoopThread(std::string name, std::size_t queueBound);
    EventLoopThread(const EventLoopThread&) = delete;
    EventLoopThread& operator=(const EventLoopThread&) = delete;
    ~EventLoopThread();

    /// Starts the thread and waits until `setUp` has run on it; `tearDown` runs on it last. Returns false when `setUp`
    /// threw.
    bool start(std::function<void(EventLoop&)> setUp, std::function<void()> tearDown);

    /// Queues work from any thread; false when the queue is full or the loop has stopped.
    bool post(Work work);

    /// Stops the loop and joins the thread.
    void stop();

private:
    void run(const std::function<void(EventLoop&)>& setUp, const std::function<void()>& tearDown,
        const std::function<void(bool)>& started);
    kj::Promise<void> runQueuedWork(EventLoop& loop, kj::UnixEventPort::FdObserver& observer);

    const std::string m_name;
    kernel::BoundedQueue<Work> m_queue;
    int m_wakeDescriptor;
    std::thread m_thread;
    bool m_stopping = false; // loop thread only
};

} // namespace yuccahook::net
