#include "Caller.h"

#include "Record.h"

#include "net/DatagramSocket.h"

#include <fstream>
#include <iostream>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/compat/http.h>
#include <kj/debug.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

namespace yuccahook::standins {

namespace {

constexpr auto answerTimeout = 10 * kj::SECONDS;
constexpr unsigned okStatus = 200;
constexpr auto lateDatagramWait = 500 * kj::MILLISECONDS; // for answers after a flow's last datagram
constexpr std::uint64_t toleratedLossPercent = 1; // of datagrams, which any network may lose
constexpr std::uint64_t unlimitedSeconds = 1'000'000;
constexpr std::uint64_t maximumAttempts = 20; // of a request whose outcome is still unknown

/// Counts of what all callers of a run observed.
struct Tally {
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0; ///< Answers with status 200 that are incomplete or belong to another request or service.
    std::uint64_t refused = 0; ///< Answers with a status other than 200.
    std::uint64_t closedBetween = 0; ///< Connections that ended before the first byte of an answer.
    std::uint64_t broken = 0; ///< Answers that were cut short or timed out.
    std::uint64_t flows = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsAnswered = 0;
    std::uint64_t flowsMoved = 0; ///< Flows that more than one backend server answered.
    std::uint64_t flowsSilent = 0; ///< Flows that were never answered.
    std::uint64_t misrouted = 0; ///< Datagrams answered by another service or with another flow's payload.
};

nlohmann::json toJson(const Tally& tally)
{
    return { { "connections", tally.connections }, { "requests", tally.requests }, { "answered", tally.answered },
        { "wrong", tally.wrong }, { "refused", tally.refused }, { "closedBetween", tally.closedBetween },
        { "broken", tally.broken }, { "flows", tally.flows }, { "datagramsSent", tally.datagramsSent },
        { "datagramsAnswered", tally.datagramsAnswered }, { "flowsMoved", tally.flowsMoved },
        { "flowsSilent", tally.flowsSilent }, { "misrouted", tally.misrouted } };
}

// Whether no flow broke and every answer was right, apart from the tolerated loss of datagrams.
bool hasPassed(const Tally& tally)
{
    const std::uint64_t lost = tally.datagramsSent - tally.datagramsAnswered;
    return tally.wrong == 0 && tally.broken == 0 && tally.refused == 0 && tally.flowsMoved == 0
        && tally.flowsSilent == 0 && tally.misrouted == 0 && lost * 100 <= tally.datagramsSent * toleratedLossPercent;
}

/// Settings and state that the callers of one run share.
struct RunContext {
    kj::AsyncIoContext& io;
    kj::Timer& timer;
    Tally tally;
    std::mt19937_64 random;
    kj::Duration interval;
    kj::TimePoint end;
    std::uint64_t postPercent;
    std::string expect;
    std::ofstream acknowledged;
    Record record;
    bool resend;
    double connectionSeconds; ///< Age at which a caller closes its connection.
};

/// A request and its current attempt.
struct Request {
    std::string key; ///< Sent as the Idempotency-Key of a POST.
    bool post = false;
    std::uint64_t attempt = 0; ///< Counted from 1.
    double began = 0; ///< Wall time in seconds at which this attempt began.
};

/// Sends one request after another on a connection, and opens a new connection when that one has ended.
class HttpCaller {
public:
    HttpCaller(RunContext& run, const net::Address& address, std::uint64_t id, const kj::HttpHeaderTable& table,
        kj::HttpHeaderId keyHeader)
        : m_run(run)
        , m_address(address)
        , m_id(id)
        , m_table(table)
        , m_keyHeader(keyHeader)
    {
    }

    kj::Promise<void> run()
    {
        if (m_run.timer.now() >= m_run.end)
            return kj::READY_NOW;
        sockaddr_storage storage {};
        const socklen_t length = m_address.toSocket(storage);
        auto target = m_run.io.provider->getNetwork().getSockaddr(&storage, length);
        auto& connecting = *target;
        return connecting.connect()
            .attach(kj::mv(target))
            .then([this](auto stream) {
                ++m_run.tally.connections;
                m_stream = kj::mv(stream);
                m_connectionBegan = wallSeconds();
                m_established = false;
                m_connectionClosing = false;
                m_client = kj::newHttpClient(m_table, *m_stream);
                return sendRequests();
            })
            .catch_([this](kj::Exception&& exception) {
                const bool disconnected = exception.getType() == kj::Exception::Type::DISCONNECTED;
                const bool withoutAnswer = !m_requestSent || (disconnected && !m_answerBegan);
                ++(withoutAnswer ? m_run.tally.closedBetween : m_run.tally.broken);
                recordOutcome(withoutAnswer ? "unanswered" : "broken", exception.getDescription().cStr());
                if (!withoutAnswer)
                    std::cerr << "caller " << m_id << ": " << exception.getDescription().cStr() << '\n';
            })
            .then([this] {
                m_client = nullptr;
                m_stream = nullptr;
                return m_run.timer.afterDelay(m_run.interval);
            })
            .then([this] { return run(); });
    }

private:
    kj::Promise<void> sendRequests()
    {
        const bool expired = wallSeconds() - m_connectionBegan >= m_run.connectionSeconds;
        if (m_run.timer.now() >= m_run.end || expired || m_connectionClosing)
            return kj::READY_NOW;
        return m_run.timer.timeoutAfter(answerTimeout, sendRequest())
            .then([this] { return m_run.timer.afterDelay(m_run.interval); })
            .then([this] { return sendRequests(); });
    }

    kj::Promise<void> sendRequest()
    {
        const bool resubmitted
            = m_run.resend && m_outcomeUnknown && m_request.post && m_request.attempt < maximumAttempts;
        if (!resubmitted) {
            const bool post = m_run.random() % 100 < m_run.postPercent;
            m_request = { std::to_string(m_id) + "-" + std::to_string(++m_sequence), post, 0, 0 };
        }
        m_inProgress = true;
        ++m_request.attempt;
        m_request.began = wallSeconds();
        const std::string key = m_request.key;
        const bool post = m_request.post;
        const std::string path = "/caller/" + key;
        const std::string text = post ? "body of " + key : "";
        const auto method = post ? kj::HttpMethod::POST : kj::HttpMethod::GET;
        kj::HttpHeaders headers(m_table);
        headers.set(kj::HttpHeaderId::HOST, "service");
        if (post)
            headers.set(m_keyHeader, kj::str(key.c_str()));
        ++m_run.tally.requests;
        m_answerBegan = false;
        m_requestSent = false; // the client throws at once when its connection has already ended
        auto request = m_client->request(method, path.c_str(), headers, text.size());
        auto bodyText = kj::heap<std::string>(text); // has to outlive the write
        auto sent
            = text.empty() ? kj::Promise<void>(kj::READY_NOW) : request.body->write(bodyText->data(), bodyText->size());
        auto sending = sent.attach(kj::mv(request.body), kj::mv(bodyText)).eagerlyEvaluate(nullptr);
        m_requestSent = true;
        const std::string expectedSuffix = std::string(post ? "|POST " : "|GET ") + path + "|" + text;
        return request.response
            .then([this, expectedSuffix, key, post](kj::HttpClient::Response&& response) {
                m_answerBegan = true;
                const auto status = response.statusCode;
                KJ_IF_MAYBE (connectionHeader, response.headers->get(kj::HttpHeaderId::CONNECTION))
                    m_connectionClosing = *connectionHeader == "close";
                return response.body->readAllText()
                    .attach(kj::mv(response.body))
                    .then([this, expectedSuffix, key, post, status](
                              kj::String body) { checkAnswer(body.cStr(), expectedSuffix, key, post, status); });
            })
            .attach(kj::mv(sending));
    }

    void checkAnswer(
        const std::string& body, const std::string& expectedSuffix, const std::string& key, bool post, unsigned status)
    {
        m_answerBegan = false;
        if (status != okStatus) {
            ++m_run.tally.refused;
            recordOutcome("refused", body, status);
            std::cerr << "caller " << m_id << ": status " << status << ": " << body << '\n';
            return;
        }
        ++m_run.tally.answered;
        const bool correct = body.ends_with(expectedSuffix) && body.starts_with(m_run.expect);
        if (!correct)
            ++m_run.tally.wrong;
        m_backend = body.substr(0, body.find('|'));
        recordOutcome(correct ? "answered" : "wrong", correct ? "" : body, status);
        m_established = true;
        if (post && m_run.acknowledged.is_open())
            m_run.acknowledged << key << std::endl;
    }

    // Records how the request in progress ended; does nothing when there is none.
    void recordOutcome(std::string_view outcome, const std::string& text, unsigned status = 0)
    {
        if (!std::exchange(m_inProgress, false))
            return;
        m_outcomeUnknown = outcome == "broken" || outcome == "unanswered";
        m_run.record.write({ { "outcome", outcome }, { "key", m_request.key }, { "post", m_request.post },
            { "attempt", m_request.attempt }, { "began", m_request.began }, { "from", localAddress() },
            { "connectionBegan", m_connectionBegan }, { "established", m_established },
            { "backend", m_established || status == okStatus ? m_backend : "" }, { "status", status },
            { "text", text } });
    }

    std::string localAddress()
    {
        if (!m_stream)
            return "";
        sockaddr_storage storage {};
        kj::uint length = sizeof(storage);
        m_stream->getsockname(reinterpret_cast<sockaddr*>(&storage), &length);
        return net::Address::fromSocket(storage).text();
    }

    RunContext& m_run;
    const net::Address m_address;
    const std::uint64_t m_id;
    const kj::HttpHeaderTable& m_table;
    const kj::HttpHeaderId m_keyHeader;
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<kj::HttpClient> m_client;
    std::uint64_t m_sequence = 0;
    Request m_request;
    bool m_inProgress = false;
    bool m_outcomeUnknown = false; // whether the last request was broken or unanswered, so that it may have run
    bool m_answerBegan = false;
    bool m_requestSent = false;
    double m_connectionBegan = 0;
    bool m_connectionClosing = false; // whether the last answer had the header `Connection: close`
    bool m_established = false; // whether the connection has carried a whole answer
    std::string m_backend; // the backend server that gave the last answer
};

/// Sends numbered datagrams from one socket and checks that one backend server answers them all.
class DatagramCaller {
public:
    DatagramCaller(RunContext& run, const net::Address& address, std::uint64_t id)
        : m_run(run)
        , m_id(id)
        , m_socket(net::DatagramSocket::connected(address))
    {
        KJ_REQUIRE(m_socket != nullptr, "cannot open a datagram socket");
        ++m_run.tally.flows;
    }

    kj::Promise<void> run()
    {
        receiveAnswers();
        if (m_run.timer.now() >= m_run.end) {
            return m_run.timer.afterDelay(lateDatagramWait).then([this] {
                receiveAnswers();
                if (m_backend.empty())
                    ++m_run.tally.flowsSilent;
                if (m_moved)
                    ++m_run.tally.flowsMoved;
                m_run.record.write({ { "event", "flow" }, { "id", m_id }, { "backends", m_backends },
                    { "lastAnswer", m_lastAnswer } });
            });
        }
        const std::string text = std::to_string(m_id) + "-" + std::to_string(++m_sequence);
        m_socket->sendNow({ reinterpret_cast<const std::uint8_t*>(text.data()), text.size() });
        ++m_run.tally.datagramsSent;
        return m_run.timer.afterDelay(m_run.interval).then([this] { return run(); });
    }

private:
    void receiveAnswers()
    {
        while (m_socket->receive([this](const net::Address&, net::Bytes payload) {
            checkAnswer({ reinterpret_cast<const char*>(payload.data()), payload.size() });
        }) > 0) { }
    }

    void checkAnswer(const std::string& answer)
    {
        ++m_run.tally.datagramsAnswered;
        const std::string backend = answer.substr(0, answer.find('|'));
        const std::string expectedPrefix = std::to_string(m_id) + "-";
        if (!backend.starts_with(m_run.expect) || !answer.substr(backend.size() + 1).starts_with(expectedPrefix))
            ++m_run.tally.misrouted;
        m_moved = m_moved || (!m_backend.empty() && m_backend != backend);
        if (m_backend != backend)
            m_backends.push_back({ { "name", backend }, { "since", wallSeconds() }, { "text", answer } });
        m_backend = backend;
        m_lastAnswer = wallSeconds();
    }

    RunContext& m_run;
    const std::uint64_t m_id;
    double m_lastAnswer = 0;
    std::unique_ptr<net::DatagramSocket> m_socket;
    std::uint64_t m_sequence = 0;
    std::string m_backend;
    nlohmann::json m_backends = nlohmann::json::array(); // the first answer after each change of backend server
    bool m_moved = false; // whether more than one backend server has answered
};

} // namespace

int runCaller(const Options& options)
{
    auto io = kj::setupAsyncIo();
    auto& timer = io.provider->getTimer();
    const auto end = timer.now() + static_cast<std::int64_t>(options.number("seconds", 5)) * kj::SECONDS;
    const auto interval = static_cast<std::int64_t>(options.number("interval-ms", 20)) * kj::MILLISECONDS;
    RunContext run { io, timer, {}, std::mt19937_64(options.number("seed", 1)), interval, end,
        options.number("post-percent", 30), options.text("expect"), {}, Record(options.text("record")),
        options.number("resend", 0) != 0, static_cast<double>(options.number("connection-seconds", unlimitedSeconds)) };
    if (!options.text("acknowledged").empty())
        run.acknowledged.open(options.text("acknowledged"), std::ios::app);
    kj::HttpHeaderTable::Builder headers;
    const auto keyHeader = headers.add("Idempotency-Key");
    const auto table = headers.build();
    std::vector<std::unique_ptr<HttpCaller>> httpCallers;
    std::vector<std::unique_ptr<DatagramCaller>> datagramCallers;
    kj::Vector<kj::Promise<void>> running;
    const std::uint64_t firstId = options.number("first-id", 1);
    for (std::uint64_t index = 0; index < options.number("http-callers", 0); ++index) {
        httpCallers.push_back(
            std::make_unique<HttpCaller>(run, options.address("http"), firstId + index, *table, keyHeader));
        running.add(httpCallers.back()->run());
    }
    for (std::uint64_t index = 0; index < options.number("flows", 0); ++index) {
        datagramCallers.push_back(std::make_unique<DatagramCaller>(run, options.address("datagram"), firstId + index));
        running.add(datagramCallers.back()->run());
    }
    kj::joinPromises(running.releaseAsArray()).wait(io.waitScope);
    std::cout << toJson(run.tally).dump() << std::endl;
    return hasPassed(run.tally) ? 0 : 1;
}

} // namespace yuccahook::standins
