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

constexpr auto reportInterval = std::chrono::milliseconds(500);
constexpr auto reportTimeout = std::chrono::seconds(2);
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

/// Echoes HTTP requests. At most `slots` of them run at once; further ones wait for a slot, or are answered 503 when
/// `shed` is set.
class EchoService final : public kj::HttpService {
public:
    EchoService(BackendOptions options, kj::Timer& timer, kj::HttpHeaderTable::Builder& headers)
        : m_options(std::move(options))
        , m_workRecord(m_options.workRecordPath)
        , m_timer(timer)
        , m_keyHeader(headers.add("Idempotency-Key"))
        , m_serviceTimeHeader(headers.add("X-Work-Ms"))
        , m_headerTable(headers.getFutureTable())
    {
        if (!m_options.recordPath.empty())
            m_keyRecord.open(m_options.recordPath, std::ios::app);
    }

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& body, Response& response) override
    {
        std::uint64_t requestMillis = m_options.serviceMillis;
        KJ_IF_MAYBE (requested, headers.get(m_serviceTimeHeader))
            requestMillis = std::strtoull(requested->cStr(), nullptr, 10);
        std::string key = url.cStr();
        KJ_IF_MAYBE (keyValue, headers.get(m_keyHeader))
            key = keyValue->cStr();
        const std::string target = kj::str(method, " ", url).cStr();
        return body.readAllText().then([this, method, requestMillis, key, target, &response](kj::String text) {
            if (m_options.shed && m_running >= m_options.slots)
                return response.sendError(503, "Service Unavailable", m_headerTable);
            return acquireSlot().then(
                [this, method, requestMillis, key, target, &response, text = kj::mv(text)]() mutable {
                    if (method != kj::HttpMethod::GET && m_keyRecord.is_open())
                        m_keyRecord << key << std::endl;
                    m_workRecord.write({ { "event", "began" }, { "key", key }, { "target", target } });
                    return m_timer.afterDelay(static_cast<std::int64_t>(requestMillis) * kj::MILLISECONDS)
                        .then([this, target, &response, text = kj::mv(text)] { return answer(target, text, response); })
                        .then([this, key] {
                            m_workRecord.write({ { "event", "ended" }, { "key", key } });
                        })
                        .attach(kj::defer([this] { releaseSlot(); }));
                });
        });
    }

    /// Makes the process exit after the first half of the next answer's body.
    void crashDuringNextAnswer() { m_crashDuringNextAnswer = true; }

    Record& workRecord() { return m_workRecord; }

private:
    kj::Promise<void> acquireSlot()
    {
        if (m_running < m_options.slots) {
            ++m_running;
            return kj::READY_NOW;
        }
        auto paf = kj::newPromiseAndFulfiller<void>();
        m_slotWaiters.push_back(kj::mv(paf.fulfiller));
        return kj::mv(paf.promise);
    }

    void releaseSlot()
    {
        while (!m_slotWaiters.empty()) {
            auto next = kj::mv(m_slotWaiters.front());
            m_slotWaiters.pop_front();
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
        kj::HttpHeaders headers(m_headerTable);
        headers.set(kj::HttpHeaderId::CONTENT_TYPE, "text/plain");
        auto out = response.send(200, "OK", headers, body.size());
        if (m_crashDuringNextAnswer) {
            auto firstHalf = out->write(body.begin(), body.size() / 2);
            return firstHalf.then([] { std::_Exit(crashExitCode); }).attach(kj::mv(out), kj::mv(body));
        }
        auto written = out->write(body.begin(), body.size());
        return written.attach(kj::mv(out), kj::mv(body));
    }

    const BackendOptions m_options;
    Record m_workRecord;
    bool m_crashDuringNextAnswer = false;
    kj::Timer& m_timer;
    kj::HttpHeaderId m_keyHeader;
    kj::HttpHeaderId m_serviceTimeHeader;
    const kj::HttpHeaderTable& m_headerTable;
    std::ofstream m_keyRecord;
    std::uint64_t m_running = 0;
    std::deque<kj::Own<kj::PromiseFulfiller<void>>> m_slotWaiters;
};

/// Accepts connections, records each of them and serves HTTP on it.
class StreamAcceptor final : private kj::TaskSet::ErrorHandler {
public:
    StreamAcceptor(kj::Own<kj::ConnectionReceiver> receiver, kj::HttpServer& server, Record& workRecord)
        : m_receiver(kj::mv(receiver))
        , m_server(server)
        , m_workRecord(workRecord)
        , m_serving(*this)
    {
    }

    kj::Promise<void> accept()
    {
        return m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
            m_workRecord.write({ { "event", "connection" }, { "number", ++m_accepted } });
            m_serving.add(m_server.listenHttp(kj::mv(stream)));
            return accept();
        });
    }

private:
    void taskFailed(kj::Exception&&) override { }

    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::HttpServer& m_server;
    Record& m_workRecord;
    std::uint64_t m_accepted = 0;
    kj::TaskSet m_serving;
};

/// The datagram flows that the backend server has received. Each flow has its own sender address, a socket of the
/// agent.
struct DatagramFlows {
    Record& workRecord;
    std::unordered_set<net::Address> knownSenders;
};

// Answers each datagram with the backend server's name, a `|` and the datagram's payload.
kj::Promise<void> echoDatagrams(
    net::DatagramSocket& socket, kj::UnixEventPort::FdObserver& observer, const std::string& name, DatagramFlows& flows)
{
    while (socket.receive([&](const net::Address& from, net::Bytes payload) {
        if (flows.knownSenders.insert(from).second)
            flows.workRecord.write({ { "event", "flow" }, { "from", from.text() } });
        std::vector<std::uint8_t> answer(name.begin(), name.end());
        answer.push_back('|');
        answer.insert(answer.end(), payload.begin(), payload.end());
        socket.queue(from, answer);
    }) > 0)
        socket.flush();
    return observer.whenBecomesReadable().then(
        [&socket, &observer, &name, &flows] { return echoDatagrams(socket, observer, name, flows); });
}

// Reports to the agent until `stopping` is set. The first report follows after --cold-start-ms.
void reportUntilStopped(const Options& options, const std::atomic<bool>& stopping, const std::atomic<bool>& draining)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(options.number("cold-start-ms", 0)));
    nlohmann::json body { { "service", options.text("service") }, { "address", options.text("listen") },
        { "slots", options.number("slots", 7) }, { "connections", options.number("connections", 2000) } };
    const auto agent = options.address("agent");
    while (!stopping) {
        body["draining"] = draining.load();
        net::sendHttpRequest(agent, { "POST", "/announce", "", body.dump() }, reportTimeout);
        std::this_thread::sleep_for(reportInterval);
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
    KJ_REQUIRE(datagrams != nullptr, "cannot bind the datagram socket");
    kj::UnixEventPort::FdObserver observer(
        io.unixEventPort, datagrams->descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    DatagramFlows flows { service.workRecord(), {} };
    const auto echo = echoDatagrams(*datagrams, observer, name, flows).eagerlyEvaluate(nullptr);
    std::atomic<bool> stopping = false;
    std::atomic<bool> draining = false;
    const auto crash = io.unixEventPort.onSignal(crashSignal)
                           .then([&service](auto&&) { service.crashDuringNextAnswer(); })
                           .eagerlyEvaluate(nullptr);
    const auto drain = io.unixEventPort.onSignal(drainSignal)
                           .then([&draining](auto&&) { draining = true; })
                           .eagerlyEvaluate(nullptr);
    std::thread reporter([&] { reportUntilStopped(options, stopping, draining); });
    StreamAcceptor acceptor(kj::mv(receiver), server, service.workRecord());
    acceptor.accept().exclusiveJoin(io.unixEventPort.onSignal(SIGTERM).ignoreResult()).wait(io.waitScope);
    stopping = true;
    reporter.join();
    return 0;
}

} // namespace yuccahook::standins
