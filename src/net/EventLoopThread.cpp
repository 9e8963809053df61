#include "net/EventLoopThread.h"

#include "observe/Log.h"

#include <future>
#include <kj/exception.h>
#include <nlohmann/json.hpp>
#include <sys/eventfd.h>
#include <unistd.h>

namespace yuccahook::net {

EventLoop::EventLoop(kj::AsyncIoContext& io, std::string name)
    : m_io(io)
    , m_name(std::move(name))
    , m_tasks(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this)))
{
}

void EventLoop::taskFailed(kj::Exception&& exception)
{
    observe::log(
        observe::Level::Warn, "task-failed", { { "loop", m_name }, { "reason", exception.getDescription().cStr() } });
}

EventLoopThread::EventLoopThread(std::string name, std::size_t queueBound)
    : m_name(std::move(name))
    , m_queue(queueBound)
    , m_wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

EventLoopThread::~EventLoopThread()
{
    stop();
    close(m_wakeDescriptor);
}

bool EventLoopThread::start(std::function<void(EventLoop&)> setUp, std::function<void()> tearDown)
{
    std::promise<bool> started;
    auto result = started.get_future();
    m_thread = std::thread([this, setUp = std::move(setUp), tearDown = std::move(tearDown), &started] {
        run(setUp, tearDown, [&started](bool succeeded) { started.set_value(succeeded); });
    });
    if (result.get())
        return true;
    m_thread.join();
    return false;
}

bool EventLoopThread::post(Work work)
{
    if (!m_queue.push(std::move(work)))
        return false;
    const std::uint64_t one = 1;
    return write(m_wakeDescriptor, &one, sizeof(one)) == sizeof(one);
}

void EventLoopThread::stop()
{
    if (!m_thread.joinable())
        return;
    while (!post([this](EventLoop&) { m_stopping = true; }))
        std::this_thread::yield();
    m_thread.join();
    m_queue.close();
}

void EventLoopThread::run(const std::function<void(EventLoop&)>& setUp, const std::function<void()>& tearDown,
    const std::function<void(bool)>& started)
{
    auto io = kj::setupAsyncIo();
    EventLoop loop(io, m_name);
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { setUp(loop); })) {
        observe::log(observe::Level::Error, "loop-set-up-failed",
            { { "loop", m_name }, { "reason", exception->getDescription().cStr() } });
        loop.cancelAll();
        tearDown();
        started(false);
        return;
    }
    started(true);
    kj::UnixEventPort::FdObserver observer(
        io.unixEventPort, m_wakeDescriptor, kj::UnixEventPort::FdObserver::OBSERVE_READ);
    runQueuedWork(loop, observer).wait(io.waitScope);
    loop.cancelAll();
    tearDown();
}

kj::Promise<void> EventLoopThread::runQueuedWork(EventLoop& loop, kj::UnixEventPort::FdObserver& observer)
{
    std::uint64_t count = 0;
    while (read(m_wakeDescriptor, &count, sizeof(count)) > 0) { }
    for (auto& work : m_queue.popAll()) {
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { work(loop); })) {
            observe::log(observe::Level::Error, "work-failed",
                { { "loop", m_name }, { "reason", exception->getDescription().cStr() } });
        }
        if (m_stopping)
            return kj::READY_NOW;
    }
    return observer.whenBecomesReadable().then([this, &loop, &observer] { return runQueuedWork(loop, observer); });
}

} // namespace yuccahook::net
