#include "Backend.h"

#include "Record.h"

#include "net/DatagramSocket.h"
#include "net/HttpClient.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/compat/http.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_set>

namespace yuccahook::standins {

namespace {

constexpr auto announceInterval = std::chrono::milliseconds(500);
constexpr auto announceTimeout = std::chrono::seconds(2);
constexpr int crashExitCode = 3;
constexpr int crashSignal = SIGUSR2;
constexpr int drainSignal = SIGHUP;

struct BackendOptions {
    std::string name;
    std::uint64_t slots;
    std::uint64_t serviceMillis;
    bool shed;
    std::string recordPath;
    std::string workRecordPath;
};

/// The HTTP side: at most `slots` requests at once, the others wait or are refused.
class EchoService final : public kj::HttpService {
public:
    EchoService(BackendOptions options, kj::Timer& timer, kj::HttpHeaderTable::Builder& headers)
        : m_options(std::move(options))
        , m_work(m_options.workRecordPath)
        , m_timer(timer)
        , m_keyHeader(headers.add("Idempotency-Key"))
        , m_workHeader(headers.add("X-Work-Ms"))
        , m_table(headers.getFutureTable())
    {
        if (!m_options.recordPath.empty())
            m_record.open(m_options.recordPath, std::ios::app);
    }

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& body, Response& response) override
    {
        std::uint64_t millis = m_options.serviceMillis;
        KJ_IF_MAYBE (work, headers.get(m_workHeader))
            millis = std::strtoull(work->cStr(), nullptr, 10);
        std::string key = url.cStr();
        KJ_IF_MAYBE (given, headers.get(m_keyHeader))
            key = given->cStr();
        const std::string target = kj::str(method, " ", url).cStr();
        return body.readAllText().then([this, method, millis, key, target, &response](kj::String text) {
            if (m_options.shed && m_running >= m_options.slots)
                return response.sendError(503, "Service Unavailable", m_table);
            return takeSlot().then([this, method, millis, key, target, &response, text = kj::mv(text)]() mutable {
                if (method != kj::HttpMethod::GET && m_record.is_open())
                    m_record << key << std::endl;
                m_work.write({ { "event", "began" }, { "key", key }, { "target", target } });
                return m_timer.afterDelay(static_cast<std::int64_t>(millis) * kj::MILLISECONDS)
                    .then([this, target, &response, text = kj::mv(text)] { return answer(target, text, response); })
                    .then([this, key] {
                        m_work.write({ { "event", "ended" }, { "key", key } });
                    })
                    .attach(kj::defer([this] { leaveSlot(); }));
            });
        });
    }

    /// Ends the process in the middle of the next answer.
    void crashInNextAnswer() { m_crashNext = true; }

    Record& work() { return m_work; }

private:
    kj::Promise<void> takeSlot()
    {
        if (m_running < m_options.slots) {
            ++m_running;
            return kj::READY_NOW;
        }
        auto paf = kj::newPromiseAndFulfiller<void>();
        m_waiting.push_back(kj::mv(paf.fulfiller));
        return kj::mv(paf.promise);
    }

    void leaveSlot()
    {
        while (!m_waiting.empty()) {
            auto next = kj::mv(m_waiting.front());
            m_waiting.pop_front();
            if (!next->isWaiting())
                continue;
            next->fulfill();
            return;
        }
        --m_running;
    }

    kj::Promise<void> answer(const std::string& target, const kj::String& text, Response& response)
    {
        auto body = kj::str(m_options.name.c_str(), "|", target.c_str(), "|", text);
        kj::HttpHeaders headers(m_table);
        headers.set(kj::HttpHeaderId::CONTENT_TYPE, "text/plain");
        auto out = response.send(200, "OK", headers, body.size());
        if (m_crashNext) {
            auto half = out->write(body.begin(), body.size() / 2);
            return half.then([] { std::_Exit(crashExitCode); }).attach(kj::mv(out), kj::mv(body));
        }
        auto written = out->write(body.begin(), body.size());
        return written.attach(kj::mv(out), kj::mv(body));
    }

    const BackendOptions m_options;
    Record m_work;
    bool m_crashNext = false;
    kj::Timer& m_timer;
    kj::HttpHeaderId m_keyHeader;
    kj::HttpHeaderId m_workHeader;
    const kj::HttpHeaderTable& m_table;
    std::ofstream m_record;
    std::uint64_t m_running = 0;
    std::deque<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;
};

/// Serves each connection and records that it was taken.
class StreamAcceptor final : private kj::TaskSet::ErrorHandler {
public:
    StreamAcceptor(kj::Own<kj::ConnectionReceiver> receiver, kj::HttpServer& server, Record& work)
        : m_receiver(kj::mv(receiver))
        , m_server(server)
        , m_work(work)
        , m_serving(*this)
    {
    }

    kj::Promise<void> accept()
    {
        return m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
            m_work.write({ { "event", "connection" }, { "number", ++m_taken } });
            m_serving.add(m_server.listenHttp(kj::mv(stream)));
            return accept();
        });
    }

private:
    void taskFailed(kj::Exception&&) override { }

    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::HttpServer& m_server;
    Record& m_work;
    std::uint64_t m_taken = 0;
    kj::TaskSet m_serving;
};

/// The datagram flows that a backend server has seen, by the agent's socket.
struct Flows {
    Record& work;
    std::unordered_set<net::Address> seen;
};

// Answers each datagram with the backend's name and the datagram's own bytes.
kj::Promise<void> echoDatagrams(
    net::DatagramSocket& socket, kj::UnixEventPort::FdObserver& observer, const std::string& name, Flows& flows)
{
    while (socket.receive([&](const net::Address& from, net::Bytes payload) {
        if (flows.seen.insert(from).second)
            flows.work.write({ { "event", "flow" }, { "from", from.text() } });
        std::vector<std::uint8_t> answer(name.begin(), name.end());
        answer.push_back('|');
        answer.insert(answer.end(), payload.begin(), payload.end());
        socket.queue(from, answer);
    }) > 0)
        socket.flush();
    return observer.whenBecomesReadable().then(
        [&socket, &observer, &name, &flows] { return echoDatagrams(socket, observer, name, flows); });
}

void keepAnnounced(const Options& options, const std::atomic<bool>& stopping, const std::atomic<bool>& draining)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(options.number("cold-start-ms", 0)));
    nlohmann::json body { { "service", options.text("service") }, { "address", options.text("listen") },
        { "slots", options.number("slots", 7) }, { "connections", options.number("connections", 2000) } };
    const auto agent = options.address("agent");
    while (!stopping) {
        body["draining"] = draining.load();
        net::sendHttpRequest(agent, { "POST", "/announce", "", body.dump() }, announceTimeout);
        std::this_thread::sleep_for(announceInterval);
    }
}

} // namespace

int runBackend(const Options& options)
{
    for (const int signal : { SIGTERM, crashSignal, drainSignal })
        kj::UnixEventPort::captureSignal(signal);
    auto io = kj::setupAsyncIo();
    const std::string name = options.text("name", "backend");
    kj::HttpHeaderTable::Builder headers;
    EchoService service({ name, options.number("slots", 7), options.number("service-ms", 5),
                            options.number("shed", 0) != 0, options.text("record"), options.text("work-record") },
        io.provider->getTimer(), headers);
    const auto table = headers.build();
    kj::HttpServer server(io.provider->getTimer(), *table, service);
    const auto listen = options.address("listen");
    sockaddr_storage storage {};
    const socklen_t length = listen.toSocket(storage);
    auto receiver = io.provider->getNetwork().getSockaddr(&storage, length)->listen();
    const auto datagrams = net::DatagramSocket::bound(listen);
    KJ_REQUIRE(datagrams != nullptr, "cannot bind");
    kj::UnixEventPort::FdObserver observer(
        io.unixEventPort, datagrams->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    Flows flows { service.work(), {} };
    const auto echo = echoDatagrams(*datagrams, observer, name, flows).eagerlyEvaluate(nullptr);
    std::atomic<bool> stopping = false;
    std::atomic<bool> draining = false;
    const auto crash = io.unixEventPort.onSignal(crashSignal)
                           .then([&service](auto&&) { service.crashInNextAnswer(); })
                           .eagerlyEvaluate(nullptr);
    const auto drain = io.unixEventPort.onSignal(drainSignal)
                           .then([&draining](auto&&) { draining = true; })
                           .eagerlyEvaluate(nullptr);
    std::thread announcer([&] { keepAnnounced(options, stopping, draining); });
    StreamAcceptor acceptor(kj::mv(receiver), server, service.work());
    acceptor.accept().exclusiveJoin(io.unixEventPort.onSignal(SIGTERM).ignoreResult()).wait(io.waitScope);
    stopping = true;
    announcer.join();
    return 0;
}

} // namespace yuccahook::standins
