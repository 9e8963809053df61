#include "roles/Balancer.h"

#include "roles/BalancerTraffic.h"

namespace yuccahook::roles {

namespace {

constexpr std::size_t queueBound = 1024;

} // namespace

/// A traffic thread and the state that is used on it.
struct Balancer::Thread {
    net::EventLoopThread loop { "balancer-traffic", queueBound };
    std::unique_ptr<BalancerTraffic> traffic; // loop thread only
};

Balancer::Balancer(
    const settings::BalancerSettings& settings, control::ControlClient& client, observe::Counters& counters)
    : m_settings(settings)
    , m_counters(counters)
{
    for (std::uint32_t index = 0; index < settings.trafficThreads; ++index)
        m_threads.push_back(std::make_unique<Thread>());
    client.onMembership([this](const flow::MembershipPointer& membership) {
        for (auto& thread : m_threads) {
            thread->loop.post([&thread = *thread, membership](net::EventLoop&) {
                if (thread.traffic)
                    thread.traffic->setMembership(membership);
            });
        }
    });
}

Balancer::~Balancer() { stop(); }

bool Balancer::start()
{
    for (auto& thread : m_threads) {
        const bool started = thread->loop.start(
            [this, &thread = *thread](net::EventLoop& loop) {
                thread.traffic = std::make_unique<BalancerTraffic>(m_settings, loop, m_counters, m_openStreams);
            },
            [&thread = *thread] { thread.traffic.reset(); });
        if (!started)
            return false;
    }
    return true;
}

void Balancer::drain()
{
    for (auto& thread : m_threads) {
        thread->loop.post([&thread = *thread](net::EventLoop&) {
            if (thread.traffic)
                thread.traffic->drain();
        });
    }
}

bool Balancer::drained() const { return m_openStreams == 0; }

void Balancer::stop()
{
    for (auto& thread : m_threads)
        thread->loop.stop();
}

} // namespace yuccahook::roles
