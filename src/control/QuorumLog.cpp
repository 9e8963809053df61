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
constexpr auto connectTimeout = 500 * kj::MILLISECONDS; // one election timeout
constexpr auto deliverTimeout = 800 * kj::MILLISECONDS; // a connection that has gone silent is replaced
constexpr auto reopenDelay = 500 * kj::MILLISECONDS; // between attempts to use a disk that failed
constexpr auto proposalTimeout = 5 * kj::SECONDS;
constexpr auto handOverTimeout = 1 * kj::SECONDS;
constexpr std::size_t messagesUnderWayBound = 128;

capnp::Data::Reader dataOf(const std::string& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

// An instance is named by its IPv4 address; all of a site listen on the same port.
std::uint32_t idOf(const net::Address& address) { return static_cast<std::uint32_t>(address.low); }

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
    std::optional<QuorumMessage> waiting {}; // the newest, until the connection is there
    std::size_t underWay = 0;
    bool connecting = false;
};

QuorumLog::QuorumLog(const settings::ControlSettings& settings, net::EventLoop& loop, ClusterState& state,
    observe::Counters& counters, std::function<void()> applied)
    : m_loop(loop)
    , m_state(state)
    , m_counters(counters)
    , m_applied(std::move(applied))
    , m_settings(settings)
    , m_files(settings.data)
    , m_tasks(*this)
{
    if (settings.data.empty())
        return;
    const FileStatus locked = m_files.lock();
    KJ_REQUIRE(locked == FileStatus::Done, "the data folder can't be locked", settings.data.c_str(),
        std::string(kernel::nameOf(locked)).c_str());
    for (const auto& other : settings.peers)
        m_peers[other.id] = kj::heap<Peer>(Peer { other.address });
    openReplica();
    if (fault() && fault()->error != JournalError::File)
        KJ_FAIL_REQUIRE("the journal can't be used", describe(*fault()).dump().c_str());
    m_tasks.add(keepTicking());
}

void QuorumLog::openReplica()
{
    QuorumReplica::Options options;
    options.id = m_settings.id;
    options.contacts = idsOf(m_settings.peers);
    options.founds = m_settings.founds;
    std::random_device device;
    auto random = [generator = std::mt19937_64(std::uint64_t { device() } << 32 | device())]() mutable {
        return std::uint64_t { generator() };
    };
    m_replica = kj::heap<QuorumReplica>(
        options, m_files, static_cast<QuorumHost&>(*this), QuorumCore::Random(random), nowMillis());
}

// Starts anew from the file, as a restarted process would: after a failed write nothing else is known to be durable.
void QuorumLog::reopenAfterFault()
{
    const bool mayPass = fault() && fault()->error == JournalError::File;
    if (!mayPass || m_loop.timer().now() < m_reopenAt)
        return;
    m_reopenAt = m_loop.timer().now() + reopenDelay;
    giveUpWaiting();
    m_state = ClusterState(0);
    m_appliedIndex = 0;
    openReplica();
    if (!runs())
        return;
    m_faultReported = false;
    m_counters.counter("quorum_failed") = 0;
    observe::log(observe::Level::Info, "quorum-reopened", { { "index", m_replica->core()->lastIndex() } });
}

std::vector<net::Address> QuorumLog::voters() const
{
    std::vector<net::Address> addresses;
    if (!runs())
        return addresses;
    for (const auto& [id, disk] : m_replica->core()->configuration().voters)
        addresses.push_back(addressOf(id));
    return addresses;
}

net::Address QuorumLog::addressOf(std::uint32_t id) const
{
    const auto known = m_peers.find(id);
    if (known != m_peers.end())
        return known->second->address;
    net::Address address = m_settings.listen;
    if (id != m_settings.id)
        address.low = (address.low & ~std::uint64_t { UINT32_MAX }) | id;
    return address;
}

void QuorumLog::addDiscoveryPeers(const std::vector<net::Address>& addresses)
{
    std::vector<std::uint32_t> ids;
    ids.reserve(addresses.size());
    for (const auto& address : addresses)
        ids.push_back(idOf(address));
    if (m_replica.get())
        m_replica->addDiscoveryPeers(ids);
}

QuorumLog::Peer& QuorumLog::peer(std::uint32_t id)
{
    const auto found = m_peers.find(id);
    if (found != m_peers.end())
        return *found->second;
    return *(m_peers[id] = kj::heap<Peer>(Peer { addressOf(id) }));
}

QuorumLog::~QuorumLog() noexcept = default;

std::uint64_t QuorumLog::nowMillis() const
{
    return static_cast<std::uint64_t>((m_loop.timer().now() - kj::origin<kj::TimePoint>()) / kj::MILLISECONDS);
}

bool QuorumLog::leads() const { return runs() && m_replica->core()->leads(); }

bool QuorumLog::current() const { return runs() && m_replica->core()->isCurrent(); }

// Proposals.

void QuorumLog::propose(const Command& command, Done done)
{
    std::string bytes = encodeCommand(command);
    if (!runs() || m_replica->core()->role() == QuorumRole::Leader) {
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
    if (!runs()) {
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
            const bool ends = place->second.until <= now || !runs();
            if (ends)
                late.push_back(std::move(place->second.placed));
            place = ends ? list->erase(place) : std::next(place);
        }
        const auto status = runs() ? ProposeStatus::NoQuorum : ProposeStatus::StorageFailed;
        for (const auto& placed : late)
            placed(status, 0);
    }
}

void QuorumLog::reportFault()
{
    if (runs() || !m_replica.get() || std::exchange(m_faultReported, true))
        return;
    m_reopenAt = m_loop.timer().now() + reopenDelay;
    m_counters.counter("quorum_failed") = 1;
    nlohmann::json fields { { "error", "contradicts-leader" } };
    if (fault())
        fields = describe(*fault());
    observe::log(observe::Level::Error, "quorum-failed", fields);
}

void QuorumLog::reportLeader()
{
    const auto& core = *m_replica->core();
    if (core.leader() == m_reportedLeader && (core.leader() == 0 || core.term() == m_reportedTerm))
        return;
    m_reportedLeader = core.leader();
    m_reportedTerm = core.term();
    observe::log(core.leader() == 0 ? observe::Level::Warn : observe::Level::Info, "leader",
        { { "leader", core.leader() == 0 ? "" : peerName(core.leader()) }, { "term", core.term() },
            { "commit", core.commitIndex() }, { "voters", core.configuration().voters.size() },
            { "votes", core.votes() } });
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
    if (!m_replica.get()) {
        answerAsRelay(*message);
        return;
    }
    m_replica->receive(*message, nowMillis());
    finishApplied();
}

// Those who found a cluster must know that this instance has no disk.
void QuorumLog::answerAsRelay(const QuorumMessage& message)
{
    if (message.kind != MessageKind::Hello)
        return;
    QuorumMessage answer;
    answer.kind = MessageKind::HelloReply;
    answer.from = m_settings.id;
    answer.to = message.from;
    answer.echo = message.echo;
    send(answer);
}

void QuorumLog::send(const QuorumMessage& message)
{
    Peer& peer = this->peer(message.to);
    if (peer.connection.get() == nullptr) {
        peer.waiting = message;
        connect(peer);
        return;
    }
    if (peer.underWay >= messagesUnderWayBound) {
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

// Of the messages that find no connection, all but the last are lost; those who need them send them again.
void QuorumLog::connect(Peer& peer)
{
    if (std::exchange(peer.connecting, true))
        return;
    sockaddr_storage socket {};
    const socklen_t length = peer.address.toSocket(socket);
    auto target = m_loop.network().getSockaddr(&socket, length);
    auto connecting = target->connect().attach(kj::mv(target));
    m_tasks.add(m_loop.timer()
                    .timeoutAfter(connectTimeout, kj::mv(connecting))
                    .then(
                        [this, &peer](auto stream) {
                            peer.connecting = false;
                            peer.connection = kj::heap<Peer::Connection>(kj::mv(stream));
                            ++peer.connections;
                            if (const auto waiting = std::exchange(peer.waiting, std::nullopt))
                                send(*waiting);
                        },
                        [&peer](kj::Exception&&) {
                            peer.connecting = false;
                            peer.waiting.reset();
                        }));
}

kj::Maybe<schema::Control::Client> QuorumLog::leader()
{
    const std::uint32_t id = runs() ? m_replica->core()->leader() : 0;
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
    if (!runs()) {
        reopenAfterFault();
        return m_loop.timer().afterDelay(tickInterval).then([this] { return keepTicking(); });
    }
    reportLeader();
    m_counters.counter("quorum_term") = m_replica->core()->term();
    m_counters.counter("quorum_commit_index") = m_replica->core()->commitIndex();
    m_counters.counter("quorum_leads") = leads() ? 1 : 0;
    m_counters.counter("quorum_current") = current() ? 1 : 0;
    m_counters.counter("quorum_votes") = m_replica->core()->votes() ? 1 : 0;
    return m_loop.timer().afterDelay(tickInterval).then([this] { return keepTicking(); });
}

void QuorumLog::handOver(std::function<void()> done)
{
    if (!runs()) {
        done();
        return;
    }
    m_replica->handOver();
    m_tasks.add(waitForOtherLeader(std::move(done), m_loop.timer().now() + handOverTimeout));
}

kj::Promise<void> QuorumLog::waitForOtherLeader(std::function<void()> done, kj::TimePoint until)
{
    if (!runs() || m_replica->core()->role() != QuorumRole::Leader || m_loop.timer().now() >= until) {
        done();
        return kj::READY_NOW;
    }
    return m_loop.timer().afterDelay(tickInterval).then([this, done = std::move(done), until]() mutable {
        return waitForOtherLeader(std::move(done), until);
    });
}

} // namespace yuccahook::control
