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
constexpr auto relayTickInterval = 100 * kj::MILLISECONDS;
constexpr auto connectTimeout = 500 * kj::MILLISECONDS; // one election timeout
// A connection on which something is awaited, and nothing was answered for this long, is replaced.
constexpr auto messageTimeout = 800 * kj::MILLISECONDS;
constexpr auto proposalTimeout = 5 * kj::SECONDS;
constexpr auto leaveTimeout = 2 * kj::SECONDS;
constexpr std::size_t largeMessageBytes = 64 << 10;
constexpr auto slowReply = 200 * kj::MILLISECONDS; // two heartbeat intervals
constexpr std::size_t maximumMessagesInFlight = 128;

capnp::Data::Reader dataOf(const std::string& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

// An instance's id is its IPv4 address; all instances of a site listen on the same port.
std::uint32_t idOf(const net::Address& address) { return static_cast<std::uint32_t>(address.low); }

std::vector<std::uint32_t> idsOf(const std::vector<settings::QuorumPeerSettings>& peers)
{
    std::vector<std::uint32_t> ids;
    ids.reserve(peers.size());
    for (const auto& peer : peers)
        ids.push_back(peer.id);
    return ids;
}

// Whether a socket with this address accepts connections to every address of its machine.
bool isUnspecified(const net::Address& address) { return address.host() == "0.0.0.0" || address.host() == "::"; }

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
    // number of connections so far; distinguishes a failure of an earlier connection from one of the current connection
    std::uint64_t connectionNumber = 0;
    std::optional<QuorumMessage> pendingMessage {}; // newest message, sent once connected
    std::size_t inFlight = 0;
    bool connecting = false;
    OutgoingTransfers transfers { std::random_device {}() * (std::uint64_t { 1 } << 32) }; // on the present connection
    kj::TimePoint lastAnswer = kj::origin<kj::TimePoint>();
    bool takesParts = true; // false for an instance of an earlier release
};

QuorumLog::QuorumLog(const settings::ControlSettings& settings, net::EventLoop& loop, ClusterState& state,
    observe::Counters& counters, ControlWorkMeter& workMeter, std::function<void()> applied)
    : m_loop(loop)
    , m_state(state)
    , m_counters(counters)
    , m_workMeter(workMeter)
    , m_applied(std::move(applied))
    , m_settings(settings)
    , m_files(settings.data)
    , m_tasks(*this)
{
    for (const auto& other : settings.peers)
        m_peers[other.id] = kj::heap<Peer>(Peer { other.address });
    if (settings.data.empty()) {
        m_relay.emplace(settings.id, idsOf(settings.peers));
        m_tasks.add(tickRelayPeriodically());
        return;
    }
    openReplica();
    if (fault() && fault()->error != JournalError::File)
        KJ_FAIL_REQUIRE("the journal can't be used", describe(*fault()).dump().c_str());
    m_tasks.add(tickPeriodically());
}

// Without the lock file, which a full disk may not take, this instance waits as for its journal.
void QuorumLog::openReplica()
{
    const FileStatus locked = m_files.lock();
    KJ_REQUIRE(locked != FileStatus::InUse, "the data folder is in use", m_settings.data.c_str());
    if (locked != FileStatus::Done) {
        m_counters.counter("quorum_failed") = 1;
        if (!std::exchange(m_faultLogged, true))
            observe::log(observe::Level::Error, "quorum-failed",
                { { "error", kernel::nameOf(JournalError::File) }, { "file", kernel::nameOf(locked) } });
        return;
    }
    QuorumReplica::Options options;
    options.id = m_settings.id;
    options.discoveryPeers = idsOf(m_settings.peers);
    options.mayBootstrap = m_settings.founds;
    std::random_device device;
    auto random = [generator = std::mt19937_64(std::uint64_t { device() } << 32 | device())]() mutable {
        return std::uint64_t { generator() };
    };
    m_replica = kj::heap<QuorumReplica>(
        options, m_files, static_cast<QuorumHost&>(*this), QuorumCore::Random(random), nowMillis());
}

void QuorumLog::reset()
{
    failProposals(ProposeStatus::StorageFailed, [](const PendingProposal&) { return true; });
    m_state = ClusterState(0);
    m_appliedIndex = 0;
}

std::vector<net::Address> QuorumLog::voters() const
{
    std::vector<net::Address> addresses;
    if (!isRunning() && !m_relay)
        return addresses;
    for (const auto& [id, disk] : m_relay ? m_relay->voters() : m_replica->core()->configuration().voters)
        addresses.push_back(addressOf(id));
    return addresses;
}

std::optional<net::Address> QuorumLog::operatorTarget() const
{
    const auto target = m_relay ? m_relay->requestTarget(nowMillis()) : std::nullopt;
    const bool isKnown = target && target->operatorAddress.isSet(); // an earlier release does not tell it
    return isKnown ? std::optional(target->operatorAddress) : std::nullopt;
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
    for (const auto& address : addresses) {
        ids.push_back(idOf(address));
        addPeer(ids.back(), address);
    }
    if (m_replica.get())
        m_replica->addDiscoveryPeers(ids);
    if (m_relay)
        m_relay->addDiscoveryPeers(ids);
}

// Keeps the address of an instance that the settings do not list.
void QuorumLog::addPeer(std::uint32_t id, const net::Address& address)
{
    if (id != m_settings.id && !m_peers.contains(id))
        m_peers[id] = kj::heap<Peer>(Peer { address });
}

// Where operators on other machines call this instance.
net::Address QuorumLog::operatorAddress() const
{
    net::Address address = m_settings.operatorAddress;
    if (isUnspecified(address)) {
        address.high = m_settings.listen.high;
        address.low = m_settings.listen.low;
    }
    return address;
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

bool QuorumLog::isActiveLeader() const { return isRunning() && m_replica->core()->isActiveLeader(); }

bool QuorumLog::isCurrent() const { return isRunning() && m_replica->core()->isCurrent(); }

void QuorumLog::propose(const Command& command, Done done)
{
    EncodedCommand encoded;
    {
        const ControlWorkMeter::Span span(m_workMeter, ControlWork::EncodeCommand);
        encoded = encode(command);
    }
    propose(encoded, std::move(done));
}

void QuorumLog::propose(const EncodedCommand& command, Done done)
{
    if (!isRunning() || m_replica->core()->role() == QuorumRole::Leader) {
        proposeLocally(command, [done = std::move(done)](ProposeStatus status, std::uint64_t) { done(status); });
        return;
    }
    KJ_IF_MAYBE (control, leaderClient()) {
        auto request = control->proposeRequest();
        request.setCommand(dataOf(command.bytes));
        request.setRepeatable(command.isRepeatable);
        auto reply = m_loop.timer().timeoutAfter(proposalTimeout, request.send());
        auto shared = std::make_shared<Done>(std::move(done));
        m_tasks.add(reply.then(
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

void QuorumLog::proposeLocally(EncodedCommand command, ProposalCallback callback)
{
    if (!isRunning()) {
        callback(m_relay ? ProposeStatus::NotLeader : ProposeStatus::StorageFailed, 0);
        return;
    }
    const bool isLeader = m_replica->core()->role() == QuorumRole::Leader;
    const auto proposed = m_replica->propose(std::move(command));
    if (!proposed) {
        callback(isLeader ? ProposeStatus::Overloaded : ProposeStatus::NotLeader, 0);
        return;
    }
    const auto [index, term] = *proposed;
    m_pendingProposals.emplace(
        index, PendingProposal { term, std::move(callback), m_loop.timer().now() + proposalTimeout });
    scheduleFlush();
}

// Commands that are proposed in one turn of the event loop share one sync.
void QuorumLog::scheduleFlush()
{
    if (std::exchange(m_flushScheduled, true))
        return;
    m_tasks.add(kj::evalLater([this] {
        m_flushScheduled = false;
        {
            const ControlWorkMeter::Span span(m_workMeter, ControlWork::Replicate);
            m_replica->flush();
        }
        notifyApplied();
    }));
}

void QuorumLog::waitForApplied(std::uint64_t index, Done done)
{
    const auto callback = [done = std::move(done)](ProposeStatus status, std::uint64_t) { done(status); };
    m_pendingForwards.emplace(index, PendingProposal { 0, callback, m_loop.timer().now() + proposalTimeout });
    notifyApplied();
}

void QuorumLog::notifyApplied()
{
    if (std::exchange(m_stateChanged, false))
        m_applied();
    while (!m_pendingForwards.empty() && m_pendingForwards.begin()->first <= m_appliedIndex) {
        auto pending = m_pendingForwards.extract(m_pendingForwards.begin());
        pending.mapped().callback(ProposeStatus::Committed, pending.key());
    }
    logFault();
}

void QuorumLog::failProposals(ProposeStatus status, const std::function<bool(const PendingProposal&)>& fails)
{
    std::vector<ProposalCallback> failed;
    for (auto* list : { &m_pendingProposals, &m_pendingForwards }) {
        for (auto pending = list->begin(); pending != list->end();) {
            const bool isFailed = fails(pending->second);
            if (isFailed)
                failed.push_back(std::move(pending->second.callback));
            pending = isFailed ? list->erase(pending) : std::next(pending);
        }
    }
    for (const auto& callback : failed)
        callback(status, 0);
}

void QuorumLog::expireProposals()
{
    if (!isRunning()) {
        failProposals(ProposeStatus::StorageFailed, [](const PendingProposal&) { return true; });
        return;
    }
    failProposals(ProposeStatus::NoQuorum,
        [now = m_loop.timer().now()](const PendingProposal& pending) { return pending.deadline <= now; });
}

void QuorumLog::logFault()
{
    if (isRunning() && std::exchange(m_faultLogged, false)) {
        m_counters.counter("quorum_failed") = 0;
        observe::log(observe::Level::Info, "quorum-reopened", { { "index", m_replica->core()->lastIndex() } });
    }
    if (isRunning() || !m_replica.get() || std::exchange(m_faultLogged, true))
        return;
    m_counters.counter("quorum_failed") = 1;
    nlohmann::json fields { { "error", "contradicts-leader" } };
    if (fault())
        fields = describe(*fault());
    observe::log(observe::Level::Error, "quorum-failed", fields);
}

void QuorumLog::logLeaderChange()
{
    const auto& core = *m_replica->core();
    if (core.leader() == m_loggedLeader && (core.leader() == 0 || core.term() == m_loggedTerm))
        return;
    m_loggedLeader = core.leader();
    m_loggedTerm = core.term();
    observe::log(core.leader() == 0 ? observe::Level::Warn : observe::Level::Info, "leader",
        { { "leader", core.leader() == 0 ? "" : peerName(core.leader()) }, { "term", core.term() },
            { "commit", core.commitIndex() }, { "voters", core.configuration().voters.size() },
            { "votes", core.isVoter() } });
}

// Tells an election for a missing heartbeat from one that a start or a planned stop has caused.
void QuorumLog::logElection()
{
    const auto& election = m_replica->core()->lastElection();
    if (std::exchange(m_loggedElections, election.count) == election.count)
        return;
    m_counters.counter("quorum_elections_total", "cause", kernel::nameOf(election.cause)) += 1;
    observe::log(observe::Level::Info, "election-started",
        { { "cause", kernel::nameOf(election.cause) }, { "term", election.term },
            { "leaderSilentMillis", election.leaderSilentMillis }, { "previousVotes", election.previousVotes },
            { "voters", m_replica->core()->configuration().voters.size() } });
}

void QuorumLog::logLostDisks()
{
    const auto& core = *m_replica->core();
    m_counters.counter("quorum_lost_disks") = core.lostDisks().size();
    if (core.lostDisks() == m_loggedLostDisks)
        return;
    for (const auto& [id, disk] : core.configuration().voters) {
        if (core.lostDisks().contains(disk) && !m_loggedLostDisks.contains(disk))
            observe::log(observe::Level::Warn, "voter-disk-lost", { { "voter", peerName(id) }, { "disk", disk } });
    }
    m_loggedLostDisks = core.lostDisks();
}

void QuorumLog::countRouteTable(const Command& command)
{
    const auto* publish = std::get_if<PublishRoutes>(&command);
    if (!publish)
        return;
    const bool isNewer = publish->table.version > m_state.membership().routeVersion;
    m_counters.counter("route_table_entries_total", "effect", isNewer ? "in-force" : "none") += 1;
    observe::log(observe::Level::Info, "route-table-entry",
        { { "version", publish->table.version }, { "inForce", isNewer }, { "index", m_appliedIndex + 1 } });
}

void QuorumLog::apply(std::uint64_t index, const QuorumEntry& entry)
{
    const ControlWorkMeter::Span span(m_workMeter, ControlWork::ApplyEntry);
    const std::uint64_t revisionBefore = m_state.membership().revision;
    if (entry.kind == EntryKind::Bootstrap)
        m_state = ClusterState(entry.cluster);
    if (entry.kind == EntryKind::Command) {
        if (const auto command = decode(entry.payload)) {
            countRouteTable(*command);
            m_state.apply(*command);
        }
    }
    if (entry.kind == EntryKind::Settled || entry.kind == EntryKind::Bootstrap)
        observe::log(observe::Level::Info, "voters-changed", { { "index", index }, { "voters", entry.voters } });
    m_appliedIndex = index;
    // Subscribers wait for revisions and for the voters; most entries, as those of reads, change neither.
    m_stateChanged = m_stateChanged || m_state.membership().revision != revisionBefore
        || entry.kind == EntryKind::Settled || entry.kind == EntryKind::Bootstrap;
    while (!m_pendingProposals.empty() && m_pendingProposals.begin()->first <= index) {
        auto pending = m_pendingProposals.extract(m_pendingProposals.begin());
        const bool isSameProposal = pending.key() == index && pending.mapped().term == entry.term;
        pending.mapped().callback(isSameProposal ? ProposeStatus::Committed : ProposeStatus::NotLeader, index);
    }
}

void QuorumLog::restore(const QuorumSnapshot& snapshot)
{
    auto image = decodeImage(snapshot.state);
    if (!image) {
        // Continuing would apply commands to a state that differs from that of the other instances.
        observe::log(observe::Level::Error, "snapshot-unreadable", { { "index", snapshot.index } });
        std::abort();
    }
    m_state = ClusterState(std::move(*image));
    m_appliedIndex = snapshot.index;
    m_stateChanged = true;
}

std::string QuorumLog::saveState()
{
    const ControlWorkMeter::Span span(m_workMeter, ControlWork::SaveState);
    return encodeImage(m_state.image());
}

void QuorumLog::receive(const std::string& bytes)
{
    std::optional<QuorumMessage> message;
    {
        const ControlWorkMeter::Span span(m_workMeter, ControlWork::DecodeMessage);
        message = decodeMessage(bytes);
    }
    if (!message) {
        m_counters.counter("quorum_messages_refused_total", "reason", "malformed") += 1;
        return;
    }
    if (message->rpcAddress.isSet())
        addPeer(message->from, message->rpcAddress);
    if (m_relay) {
        m_relay->receive(*message, nowMillis());
        sendRelayMessages();
        return;
    }
    if (!m_replica.get())
        return;
    {
        const ControlWorkMeter::Span span(m_workMeter, ControlWork::Replicate);
        m_replica->receive(*message, nowMillis());
    }
    notifyApplied();
}

void QuorumLog::receivePart(std::uint32_t sender, const MessagePart& part)
{
    auto result = m_incoming.add(sender, part);
    KJ_REQUIRE(result.status != IncomingTransfers::Status::Refused, "the part does not continue a transfer");
    if (result.status == IncomingTransfers::Status::Complete)
        receive(result.message);
}

void QuorumLog::sendRelayMessages()
{
    for (const auto& message : m_relay->takeMessages())
        send(message);
}

kj::Promise<void> QuorumLog::tickRelayPeriodically()
{
    m_relay->tick(nowMillis());
    sendRelayMessages();
    return m_loop.timer().afterDelay(relayTickInterval).then([this] { return tickRelayPeriodically(); });
}

// Adds the addresses of this instance, which only hellos and their replies have.
QuorumMessage QuorumLog::withAddresses(QuorumMessage message) const
{
    if (message.kind == MessageKind::Hello && !isUnspecified(m_settings.listen))
        message.rpcAddress = m_settings.listen;
    if (message.kind == MessageKind::HelloReply && message.disk != 0)
        message.operatorAddress = operatorAddress();
    return message;
}

void QuorumLog::send(const QuorumMessage& message)
{
    Peer& peer = this->peer(message.to);
    if (peer.connection.get() == nullptr) {
        peer.pendingMessage = message;
        connect(peer);
        return;
    }
    if (peer.inFlight >= maximumMessagesInFlight) {
        m_counters.counter("quorum_messages_dropped_total") += 1;
        return;
    }
    std::string bytes;
    {
        const ControlWorkMeter::Span span(m_workMeter, ControlWork::EncodeMessage);
        const bool hasAddresses = message.kind == MessageKind::Hello || message.kind == MessageKind::HelloReply;
        bytes = hasAddresses ? encodeMessage(withAddresses(message)) : encodeMessage(message);
    }
    m_counters.counter("quorum_bytes_sent_total", "kind", kernel::nameOf(message.kind)) += bytes.size();
    if (bytes.size() <= OutgoingTransfers::partBytes || !peer.takesParts) {
        sendWhole(peer, message.kind, message.to, bytes);
        return;
    }
    if (!peer.transfers.add(std::move(bytes)))
        m_counters.counter("quorum_messages_dropped_total") += 1;
    sendParts(peer);
}

void QuorumLog::sendWhole(Peer& peer, MessageKind kind, std::uint32_t to, const std::string& bytes)
{
    auto request = peer.connection->control.deliverRequest();
    request.setMessage(dataOf(bytes));
    ++peer.inFlight;
    const auto logIfSlow = [this, to, kind, size = bytes.size(), began = m_loop.timer().now()](
                               bool answered) { logSlowMessage(to, kind, size, began, answered); };
    auto sent = whileAnswering(peer, request.send().ignoreResult());
    m_tasks.add(sent.then(
        [this, &peer, logIfSlow] {
            --peer.inFlight;
            peer.lastAnswer = m_loop.timer().now();
            logIfSlow(true);
        },
        [this, &peer, logIfSlow, connection = peer.connectionNumber](kj::Exception&&) {
            --peer.inFlight;
            if (peer.connectionNumber != connection || peer.connection.get() == nullptr)
                return; // an earlier message has closed the connection
            logIfSlow(false);
            closeConnection(peer);
        }));
}

void QuorumLog::sendParts(Peer& peer)
{
    while (peer.connection.get() != nullptr) {
        const auto part = peer.transfers.next();
        if (!part)
            return;
        sendPart(peer, *part);
    }
}

// Fails when nothing is answered by the other instance for a time. A reply behind a transfer may thus take as long as
// the link needs, while a silent instance is noticed soon.
kj::Promise<void> QuorumLog::whileAnswering(const Peer& peer, kj::Promise<void> reply)
{
    return reply.exclusiveJoin(waitForSilence(peer, m_loop.timer().now()));
}

kj::Promise<void> QuorumLog::waitForSilence(const Peer& peer, kj::TimePoint sent)
{
    const auto due = std::max(peer.lastAnswer, sent) + messageTimeout;
    if (m_loop.timer().now() >= due)
        return KJ_EXCEPTION(OVERLOADED, "nothing was answered within the time limit");
    return m_loop.timer().atTime(due).then([this, &peer, sent] { return waitForSilence(peer, sent); });
}

void QuorumLog::sendPart(Peer& peer, const MessagePart& part)
{
    auto request = peer.connection->control.deliverPartRequest();
    request.setSender(m_settings.id);
    request.setTransfer(part.transfer);
    request.setOffset(part.offset);
    request.setTotalBytes(part.totalBytes);
    request.setBytes(dataOf(part.bytes));
    auto sent = whileAnswering(peer, request.send().ignoreResult());
    m_tasks.add(sent.then(
        [this, &peer, connection = peer.connectionNumber] {
            if (peer.connectionNumber != connection || peer.connection.get() == nullptr)
                return;
            peer.lastAnswer = m_loop.timer().now();
            peer.transfers.confirm();
            sendParts(peer);
        },
        [this, &peer, part, connection = peer.connectionNumber](kj::Exception&& exception) {
            if (peer.connectionNumber != connection || peer.connection.get() == nullptr)
                return;
            if (exception.getType() == kj::Exception::Type::UNIMPLEMENTED) {
                peer.takesParts = false; // an earlier release
                peer.transfers.abort();
                return;
            }
            m_counters.counter("quorum_transfers_broken_total") += 1;
            observe::log(observe::Level::Info, "quorum-transfer-broken",
                { { "to", peer.address.text() }, { "bytes", part.offset }, { "of", part.totalBytes },
                    { "reason", exception.getDescription().cStr() } });
            closeConnection(peer);
        }));
}

bool QuorumLog::isTransferring(std::uint32_t to) const
{
    const auto found = m_peers.find(to);
    return found != m_peers.end() && found->second->transfers.isActive();
}

void QuorumLog::closeConnection(Peer& peer)
{
    peer.connection = nullptr;
    peer.transfers.abort();
}

void QuorumLog::logSlowMessage(std::uint32_t to, MessageKind kind, std::size_t bytes, kj::TimePoint sent, bool answered)
{
    const auto elapsed = m_loop.timer().now() - sent;
    if (answered && (elapsed < slowReply || bytes < largeMessageBytes))
        return;
    m_counters.counter("quorum_messages_slow_total", "outcome", answered ? "answered" : "given-up") += 1;
    observe::log(observe::Level::Info, "quorum-message-slow",
        { { "to", peerName(to) }, { "kind", kernel::nameOf(kind) }, { "bytes", bytes },
            { "millis", elapsed / kj::MILLISECONDS }, { "answered", answered } });
}

// Until the connection is open only the newest message is kept and the others are lost. The protocol sends messages
// again that are still needed.
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
                            ++peer.connectionNumber;
                            peer.takesParts = true; // an earlier release may have been replaced
                            if (const auto pending = std::exchange(peer.pendingMessage, std::nullopt))
                                send(*pending);
                        },
                        [&peer](kj::Exception&&) {
                            peer.connecting = false;
                            peer.pendingMessage.reset();
                        }));
}

kj::Maybe<schema::Control::Client> QuorumLog::leaderClient()
{
    const std::uint32_t id = isRunning() ? m_replica->core()->leader() : 0;
    const auto found = m_peers.find(id);
    if (found == m_peers.end() || found->second->connection.get() == nullptr)
        return nullptr;
    return found->second->connection->control;
}

void QuorumLog::taskFailed(kj::Exception&& exception)
{
    observe::log(observe::Level::Warn, "quorum-task-failed", { { "reason", exception.getDescription().cStr() } });
}

// An exception must not end the ticks, without which this instance would take no part until its process restarts.
kj::Promise<void> QuorumLog::tickPeriodically()
{
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([this] { tick(); }))
        taskFailed(kj::mv(*exception));
    return m_loop.timer().afterDelay(tickInterval).then([this] { return tickPeriodically(); });
}

void QuorumLog::tick()
{
    if (!m_replica.get())
        openReplica();
    if (!m_replica.get())
        return;
    {
        const ControlWorkMeter::Span span(m_workMeter, ControlWork::Replicate);
        m_replica->tick(nowMillis());
    }
    notifyApplied();
    expireProposals();
    if (!isRunning())
        return;
    logLostDisks();
    logElection();
    logLeaderChange();
    m_counters.counter("quorum_term") = m_replica->core()->term();
    m_counters.counter("quorum_commit_index") = m_replica->core()->commitIndex();
    m_counters.counter("quorum_leads") = isActiveLeader() ? 1 : 0;
    m_counters.counter("quorum_current") = isCurrent() ? 1 : 0;
    m_counters.counter("quorum_votes") = m_replica->core()->isVoter() ? 1 : 0;
}

void QuorumLog::leave(std::function<void()> done)
{
    if (!isRunning()) {
        done();
        return;
    }
    m_replica->leave();
    m_tasks.add(waitUntilMayStop(std::move(done), m_loop.timer().now()));
}

kj::Promise<void> QuorumLog::waitUntilMayStop(std::function<void()> done, kj::TimePoint started)
{
    const auto waited = m_loop.timer().now() - started;
    if (!isRunning() || m_replica->mayStop() || waited >= leaveTimeout) {
        observe::log(observe::Level::Info, "quorum-left",
            { { "granted", isRunning() && m_replica->mayStop() },
                { "votes", isRunning() && m_replica->core()->isVoter() }, { "millis", waited / kj::MILLISECONDS } });
        done();
        return kj::READY_NOW;
    }
    return m_loop.timer().afterDelay(tickInterval).then([this, done = std::move(done), started]() mutable {
        return waitUntilMayStop(std::move(done), started);
    });
}

} // namespace yuccahook::control
