#include "control/QuorumLog.h"

#include "control/QuorumCodec.h"
#include "control/SnapshotCodec.h"
#include "observe/Log.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

namespace yuccahook::control {

namespace {

constexpr auto tickInterval = 20 * kj::MILLISECONDS;
constexpr auto connectTimeout = 1 * kj::SECONDS;
constexpr auto deliverTimeout = 2 * kj::SECONDS; // a connection that has gone silent is replaced
constexpr auto reconnectDelay = 100 * kj::MILLISECONDS;
constexpr auto proposalTimeout = 5 * kj::SECONDS;
constexpr auto handOverTimeout = 1 * kj::SECONDS;
constexpr std::size_t messagesUnderWayBound = 128;

capnp::Data::Reader dataOf(const std::string& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

std::vector<std::uint32_t> idsOf(const std::vector<settings::QuorumPeerSettings>& peers)
{
    std::vector<std::uint32_t> ids;
    ids.reserve(peers.size());
    for (const auto& peer : peers)
        ids.push_back(peer.id);
    return ids;
}

nlohmann::json describe(const JournalFault& fault)
{
    return { { "error", kernel::nameOf(fault.error) }, { "file", kernel::nameOf(fault.file) },
        { "offset", fault.offset } };
}

} // namespace

/// Another control instance and the connection to it.
struct QuorumLog::Peer {
    struct Connection {
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient rpc;
        schema::Control::Client control;

        explicit Connection(kj::Own<kj::AsyncIoStream> connected)
            : stream(kj::mv(connected))
            , rpc(*stream)
            , control(rpc.bootstrap().castAs<schema::Control>())
        {
        }
    };

    net::Address address;
    kj::Own<Connection> connection {};
    std::uint64_t connections = 0; // tells a failure of an earlier connection from one of this
    std::size_t underWay = 0;
};

QuorumLog::QuorumLog(const settings::ControlSettings& settings, net::Loop& loop, ClusterState& state,
    observe::Counters& counters, std::function<void()> applied)
    : m_loop(loop)
    , m_state(state)
    , m_counters(counters)
    , m_applied(std::move(applied))
    , m_files(settings.data)
    , m_tasks(*this)
{
    const FileStatus locked = m_files.lock();
    KJ_REQUIRE(locked == FileStatus::Done, "the data folder can't be locked", settings.data.c_str(),
        std::string(kernel::nameOf(locked)).c_str());
    QuorumReplica::Options options;
    options.id = settings.id;
    options.peers = idsOf(settings.peers);
    std::random_device device;
    auto random = [generator = std::mt19937_64(std::uint64_t { device() } << 32 | device())]() mutable {
        return std::uint64_t { generator() };
    };
    for (const auto& peer : settings.peers)
        m_peers[peer.id] = kj::heap<Peer>(Peer { peer.address });
    m_replica = kj::heap<QuorumReplica>(
        options, m_files, static_cast<QuorumHost&>(*this), QuorumCore::Random(random), nowMillis());
    if (m_replica->fault())
        KJ_FAIL_REQUIRE("the journal can't be used", describe(*m_replica->fault()).dump().c_str());
    for (auto& [id, peer] : m_peers)
        m_tasks.add(keepConnected(*peer));
    m_tasks.add(keepTicking());
}

QuorumLog::~QuorumLog() noexcept = default;

std::uint64_t QuorumLog::nowMillis() const
{
    return static_cast<std::uint64_t>((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::MILLISECONDS);
}

bool QuorumLog::leads() const { return m_replica->runs() && m_replica->core()->leads(); }

bool QuorumLog::current() const { return m_replica->runs() && m_replica->core()->isCurrent(); }

// Proposals.

void QuorumLog::propose(const Command& command, Done done)
{
    std::string bytes = encode(command);
    if (!m_replica->runs() || m_replica->core()->role() == QuorumRole::Leader) {
        proposeHere(std::move(bytes), [done = std::move(done)](ProposeStatus status, std::uint64_t) { done(status); });
        return;
    }
    KJ_IF_MAYBE (control, leader()) {
        auto request = control->proposeRequest();
        request.setCommand(dataOf(bytes));
        auto answer = m_loop.timer().timeoutAfter(proposalTimeout, request.send());
        auto shared = std::make_shared<Done>(std::move(done));
        m_tasks.add(answer.then(
            [this, shared](auto response) {
                const auto status = static_cast<ProposeStatus>(response.getStatus());
                if (status == ProposeStatus::Committed)
                    waitForApplied(response.getIndex(), *shared);
                else
                    (*shared)(status);
            },
            [shared](kj::Exception&&) { (*shared)(ProposeStatus::NoQuorum); }));
        return;
    }
    done(ProposeStatus::NotLeader);
}

void QuorumLog::proposeHere(std::string command, Placed placed)
{
    if (!m_replica->runs()) {
        placed(ProposeStatus::StorageFailed, 0);
        return;
    }
    const bool isLeader = m_replica->core()->role() == QuorumRole::Leader;
    const auto place = m_replica->propose(std::move(command));
    if (!place) {
        placed(isLeader ? ProposeStatus::Overloaded : ProposeStatus::NotLeader, 0);
        return;
    }
    const auto [index, term] = *place;
    m_proposed.emplace(index, Waiting { term, std::move(placed), m_loop.timer().now() + proposalTimeout });
    flushSoon();
}

// What is proposed in one turn of the loop shares one sync.
void QuorumLog::flushSoon()
{
    if (std::exchange(m_flushing, true))
        return;
    m_tasks.add(kj::evalLater([this] {
        m_flushing = false;
        m_replica->flush();
        finishApplied();
    }));
}

void QuorumLog::waitForApplied(std::uint64_t index, Done done)
{
    const auto placed = [done = std::move(done)](ProposeStatus status, std::uint64_t) { done(status); };
    m_forwarded.emplace(index, Waiting { 0, placed, m_loop.timer().now() + proposalTimeout });
    finishApplied();
}

void QuorumLog::finishApplied()
{
    if (std::exchange(m_changed, false))
        m_applied();
    while (!m_forwarded.empty() && m_forwarded.begin()->first <= m_appliedIndex) {
        auto waiting = m_forwarded.extract(m_forwarded.begin());
        waiting.mapped().placed(ProposeStatus::Committed, waiting.key());
    }
    reportFault();
}

void QuorumLog::giveUpWaiting()
{
    const auto now = m_loop.timer().now();
    for (auto* list : { &m_proposed, &m_forwarded }) {
        std::vector<Placed> late;
        for (auto place = list->begin(); place != list->end();) {
            const bool ends = place->second.until <= now || !m_replica->runs();
            if (ends)
                late.push_back(std::move(place->second.placed));
            place = ends ? list->erase(place) : std::next(place);
        }
        const auto status = m_replica->runs() ? ProposeStatus::NoQuorum : ProposeStatus::StorageFailed;
        for (const auto& placed : late)
            placed(status, 0);
    }
}

void QuorumLog::reportFault()
{
    if (m_replica->runs() || std::exchange(m_faultReported, true))
        return;
    m_counters.counter("quorum_failed") = 1;
    nlohmann::json fields { { "error", "contradicts-leader" } };
    if (m_replica->fault())
        fields = describe(*m_replica->fault());
    observe::log(observe::Level::Error, "quorum-failed", fields);
}

// The applied state.

void QuorumLog::apply(std::uint64_t index, const QuorumEntry& entry)
{
    if (entry.kind == EntryKind::Bootstrap)
        m_state = ClusterState(entry.cluster);
    if (entry.kind == EntryKind::Command) {
        if (const auto command = decode(entry.payload))
            m_state.apply(*command);
    }
    if (entry.kind == EntryKind::Settled || entry.kind == EntryKind::Bootstrap)
        observe::log(observe::Level::Info, "voters-changed", { { "index", index }, { "voters", entry.voters } });
    m_appliedIndex = index;
    m_changed = true;
    while (!m_proposed.empty() && m_proposed.begin()->first <= index) {
        auto waiting = m_proposed.extract(m_proposed.begin());
        const bool isIt = waiting.key() == index && waiting.mapped().term == entry.term;
        waiting.mapped().placed(isIt ? ProposeStatus::Committed : ProposeStatus::NotLeader, index);
    }
}

void QuorumLog::restore(const QuorumSnapshot& snapshot)
{
    auto image = decodeImage(snapshot.state);
    if (!image) {
        // Going on would apply commands to another state than the other instances have.
        observe::log(observe::Level::Error, "snapshot-unreadable", { { "index", snapshot.index } });
        std::abort();
    }
    m_state = ClusterState(std::move(*image));
    m_appliedIndex = snapshot.index;
    m_changed = true;
}

std::string QuorumLog::saveState() { return encodeImage(m_state.image()); }

// Peers.

void QuorumLog::deliver(const std::string& bytes)
{
    const auto message = decodeMessage(bytes);
    if (!message) {
        m_counters.counter("quorum_messages_refused_total", "reason", "malformed") += 1;
        return;
    }
    m_replica->receive(*message, nowMillis());
    finishApplied();
}

void QuorumLog::send(const QuorumMessage& message)
{
    Peer& peer = *m_peers.at(message.to);
    if (peer.connection.get() == nullptr || peer.underWay >= messagesUnderWayBound) {
        m_counters.counter("quorum_messages_dropped_total") += 1;
        return;
    }
    auto request = peer.connection->control.deliverRequest();
    request.setMessage(dataOf(encodeMessage(message)));
    ++peer.underWay;
    auto sent = m_loop.timer().timeoutAfter(deliverTimeout, request.send().ignoreResult());
    m_tasks.add(sent.then([&peer] { --peer.underWay; },
        [&peer, connection = peer.connections](kj::Exception&&) {
            --peer.underWay;
            if (peer.connections == connection)
                peer.connection = nullptr;
        }));
}

kj::Promise<void> QuorumLog::keepConnected(Peer& peer)
{
    auto ready = peer.connection.get() == nullptr ? connect(peer) : kj::Promise<void>(kj::READY_NOW);
    return ready.catch_([](kj::Exception&&) {})
        .then([this] { return m_loop.timer().afterDelay(reconnectDelay); })
        .then([this, &peer] { return keepConnected(peer); });
}

kj::Promise<void> QuorumLog::connect(Peer& peer)
{
    sockaddr_storage socket {};
    const socklen_t length = peer.address.toSocket(socket);
    auto target = m_loop.network().getSockaddr(&socket, length);
    auto connecting = target->connect().attach(kj::mv(target));
    return m_loop.timer().timeoutAfter(connectTimeout, kj::mv(connecting)).then([&peer](auto stream) {
        peer.connection = kj::heap<Peer::Connection>(kj::mv(stream));
        ++peer.connections;
    });
}

kj::Maybe<schema::Control::Client> QuorumLog::leader()
{
    const std::uint32_t id = m_replica->runs() ? m_replica->core()->leader() : 0;
    const auto found = m_peers.find(id);
    if (found == m_peers.end() || found->second->connection.get() == nullptr)
        return nullptr;
    return found->second->connection->control;
}

void QuorumLog::taskFailed(kj::Exception&& exception)
{
    observe::log(observe::Level::Warn, "quorum-task-failed", { { "reason", exception.getDescription().cStr() } });
}

// Time.

kj::Promise<void> QuorumLog::keepTicking()
{
    m_replica->tick(nowMillis());
    finishApplied();
    giveUpWaiting();
    m_counters.counter("quorum_term") = m_replica->core()->term();
    m_counters.counter("quorum_commit_index") = m_replica->core()->commitIndex();
    m_counters.counter("quorum_leads") = leads() ? 1 : 0;
    m_counters.counter("quorum_current") = current() ? 1 : 0;
    m_counters.counter("quorum_votes") = m_replica->core()->votes() ? 1 : 0;
    return m_loop.timer().afterDelay(tickInterval).then([this] { return keepTicking(); });
}

void QuorumLog::handOver(std::function<void()> done)
{
    m_replica->handOver();
    m_tasks.add(waitForOtherLeader(std::move(done), m_loop.timer().now() + handOverTimeout));
}

kj::Promise<void> QuorumLog::waitForOtherLeader(std::function<void()> done, kj::TimePoint until)
{
    if (!m_replica->runs() || m_replica->core()->role() != QuorumRole::Leader || m_loop.timer().now() >= until) {
        done();
        return kj::READY_NOW;
    }
    return m_loop.timer().afterDelay(tickInterval).then([this, done = std::move(done), until]() mutable {
        return waitForOtherLeader(std::move(done), until);
    });
}

} // namespace yuccahook::control
