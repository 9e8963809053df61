#include "control/ControlNode.h"

#include "control.capnp.h"
#include "control/Announcement.h"
#include "control/EvacuationOrder.h"
#include "control/MembershipCodec.h"
#include "control/NoteDifference.h"
#include "control/ServiceFilter.h"
#include "observe/Log.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>

namespace yuccahook::control {

namespace {

constexpr std::string_view evacuationsPath = "/evacuations";
constexpr std::size_t queueBound = 4096;
constexpr auto leaseCheckInterval = 500 * kj::MILLISECONDS;
// short, so that a subscriber soon leaves an instance that is cut off from the quorum
constexpr auto changesHoldTime = 500 * kj::MILLISECONDS;
constexpr auto proposalTimeout = std::chrono::milliseconds(900); // operators try another instance after one second
constexpr auto proposalRetryDelay = 50 * kj::MILLISECONDS;
constexpr auto subscriberRetention = std::chrono::seconds(60);
constexpr auto leaveTimeout = std::chrono::seconds(3); // longer than that of QuorumLog
constexpr auto operatorTimeout = std::chrono::seconds(10);

nlohmann::json toJson(const settings::Faults& faults)
{
    auto list = nlohmann::json::array();
    for (const auto& fault : faults) {
        list.push_back({ { "path", fault.path }, { "fault", kernel::nameOf(fault.kind) }, { "seen", fault.seen },
            { "allowed", fault.allowed } });
    }
    return list;
}

net::HttpResponse toResponse(const NoteOutcome& outcome)
{
    nlohmann::json body { { "status", kernel::nameOf(outcome.status) }, { "number", outcome.number },
        { "revision", outcome.revision }, { "acceptedAuthor", outcome.acceptedAuthor },
        { "faults", toJson(outcome.faults) } };
    int status = 200;
    if (outcome.status == NoteStatus::Invalid)
        status = 422;
    else if (outcome.status != NoteStatus::Accepted)
        status = 409;
    return { status, "application/json", body.dump() };
}

net::HttpResponse errorResponse(int status, std::string_view error)
{
    return { status, "application/json", nlohmann::json { { "error", error } }.dump() };
}

flow::Member memberOf(schema::Announcement::Reader announcement, std::uint32_t service)
{
    flow::Member member;
    member.agent = announcement.getAgent();
    member.incarnation = announcement.getIncarnation();
    member.service = service;
    member.trunk = net::readEndpoint(announcement.getTrunk());
    member.domain = announcement.getDomain();
    member.weight = std::max<std::uint32_t>(announcement.getWeight(), 1);
    member.slots = announcement.getSlots();
    member.connections = announcement.getConnections();
    return member;
}

} // namespace

/// The RPC interface of a control instance; called on the control thread.
class ControlNode::RpcServer final : public schema::Control::Server {
public:
    explicit RpcServer(ControlNode& node)
        : m_node(node)
    {
    }

    kj::Promise<void> announce(AnnounceContext context) override
    {
        const auto announcement = context.getParams().getAnnouncement();
        auto results = context.getResults();
        results.setLeaseMillis(LeaseTable::leaseDuration.count());
        if (!m_node.m_log->isActiveLeader() && !context.getParams().getForwarded()) {
            KJ_IF_MAYBE (leader, m_node.m_log->leaderClient())
                return forward(context, *leader);
        }
        results.setStatus(static_cast<std::uint8_t>(handleAnnouncement(announcement, results)));
        return kj::READY_NOW;
    }

    kj::Promise<void> changes(ChangesContext context) override
    {
        const auto params = context.getParams();
        const std::uint64_t after = params.getAfter();
        if (m_node.m_log->isCurrent())
            m_node.m_subscribers[params.getSubscriber()] = { after, m_node.now() };
        if (m_node.m_state->membership().revision > after || !m_node.m_log->isCurrent()) {
            writeReply(context, after);
            return kj::READY_NOW;
        }
        return m_node.waitForNewerRevision(after).then(
            [this, context, after]() mutable { writeReply(context, after); });
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        const auto message = context.getParams().getMessage();
        m_node.m_log->receive({ reinterpret_cast<const char*>(message.begin()), message.size() });
        return kj::READY_NOW;
    }

    kj::Promise<void> deliverPart(DeliverPartContext context) override
    {
        const auto params = context.getParams();
        const auto bytes = params.getBytes();
        m_node.m_log->receivePart(params.getSender(),
            { params.getTransfer(), params.getOffset(), params.getTotalBytes(),
                { reinterpret_cast<const char*>(bytes.begin()), bytes.size() } });
        return kj::READY_NOW;
    }

    kj::Promise<void> propose(ProposeContext context) override
    {
        const auto bytes = context.getParams().getCommand();
        EncodedCommand command { { reinterpret_cast<const char*>(bytes.begin()), bytes.size() },
            context.getParams().getRepeatable() };
        auto paf = kj::newPromiseAndFulfiller<void>();
        auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
        auto callback = [context, fulfiller](ProposeStatus status, std::uint64_t index) mutable {
            auto results = context.getResults();
            results.setStatus(static_cast<std::uint8_t>(status));
            results.setIndex(index);
            (*fulfiller)->fulfill();
        };
        m_node.m_log->proposeLocally(std::move(command), callback);
        return kj::mv(paf.promise);
    }

private:
    // Forwards an announcement once only, so that two instances that take each other for the leader do not forward it
    // forever.
    kj::Promise<void> forward(AnnounceContext context, schema::Control::Client leader)
    {
        auto request = leader.announceRequest();
        request.setAnnouncement(context.getParams().getAnnouncement());
        request.setForwarded(true);
        return request.send().then([context](auto response) mutable { context.setResults(response); });
    }

    AnnounceStatus handleAnnouncement(schema::Announcement::Reader announcement, AnnounceResults::Builder results)
    {
        if (!m_node.m_log->isActiveLeader())
            return AnnounceStatus::NotLeader;
        const auto& membership = m_node.m_state->membership();
        const auto* service = membership.serviceNamed(stringOf(announcement.getService()));
        if (!service)
            return AnnounceStatus::UnknownService;
        const std::string agent = announcement.getAgent();
        const auto known = std::find_if(membership.members.begin(), membership.members.end(),
            [&agent](const flow::Member& member) { return member.agent == agent; });
        if (announcement.getLeft()) {
            handleLeaving(agent, announcement.getIncarnation(), known == membership.members.end() ? nullptr : &*known);
            return AnnounceStatus::Joined;
        }
        if (known == membership.members.end() || known->incarnation < announcement.getIncarnation()) {
            auto& joined = m_node.m_pendingMembers.joined;
            std::erase_if(joined, [&agent](const flow::Member& member) { return member.agent == agent; });
            joined.push_back(memberOf(announcement, service->id));
            m_node.proposeMemberUpdate();
            return AnnounceStatus::Pending;
        }
        results.setIncarnation(known->incarnation);
        if (known->incarnation > announcement.getIncarnation())
            return AnnounceStatus::OldIncarnation;
        m_node.m_leases.renew(known->id, m_node.now());
        if (announcement.getDraining() && known->state == flow::MemberState::Ready) {
            m_node.m_pendingMembers.draining.push_back(known->id);
            m_node.proposeMemberUpdate();
        }
        results.setMember(known->id);
        return AnnounceStatus::Joined;
    }

    // Removes an agent that leaves, unless a later incarnation has joined.
    void handleLeaving(const std::string& agent, std::uint64_t incarnation, const flow::Member* known)
    {
        auto& pending = m_node.m_pendingMembers;
        std::erase_if(pending.joined,
            [&](const flow::Member& member) { return member.agent == agent && member.incarnation <= incarnation; });
        if (!known || known->incarnation > incarnation)
            return;
        pending.removed.push_back(known->id);
        m_node.proposeMemberUpdate();
    }

    static ViewCache::Request viewRequest(ChangesParams::Reader params, std::uint64_t after)
    {
        ViewCache::Request request { after, std::nullopt };
        if (params.getAllServices())
            return request;
        request.services.emplace();
        for (const auto name : params.getServices())
            request.services->insert(stringOf(name));
        return request;
    }

    flow::MembershipDelta deltaFor(const ViewCache::Request& request) const
    {
        auto delta = m_node.m_state->changesAfter(request.after);
        delta.controlAddresses = m_node.m_log->voters();
        delta.hasAllServices = true;
        if (!request.services)
            return delta;
        return filterServices(std::move(delta), m_node.m_state->membership(), *request.services);
    }

    void writeNewerView(ChangesParams::Reader params, ChangesResults::Builder results, std::uint64_t after)
    {
        const auto request = viewRequest(params, after);
        if (!params.getCompressed()) { // an earlier release
            writeDelta(results.initView(), deltaFor(request));
            return;
        }
        const std::string& view
            = m_node.m_views.view(m_node.m_state->membership().revision, request, [&] { return deltaFor(request); });
        results.setCompressedView({ reinterpret_cast<const kj::byte*>(view.data()), view.size() });
    }

    void writeReply(ChangesContext& context, std::uint64_t after)
    {
        const ControlWorkMeter::Span span(m_node.m_workMeter, ControlWork::WriteView);
        auto results = context.getResults();
        auto status = ChangesStatus::Unchanged;
        if (!m_node.m_log->isCurrent()) {
            // names the voters, so that a subscriber that knows only instances without a disk finds the quorum
            status = ChangesStatus::NotCurrent;
            flow::MembershipDelta voters;
            voters.controlAddresses = m_node.m_log->voters();
            writeDelta(results.initView(), voters);
        } else if (m_node.m_state->membership().revision > after) {
            status = ChangesStatus::Newer;
            writeNewerView(context.getParams(), results, after);
        }
        results.setStatus(static_cast<std::uint8_t>(status));
    }

    ControlNode& m_node;
};

ControlNode::ControlNode(
    const settings::ControlSettings& settings, net::OperatorServer& operatorServer, observe::Counters& counters)
    : m_settings(settings)
    , m_counters(counters)
    , m_proposalMillis(counters, "proposal_millis")
    , m_evacuations(serviceName, counters)
    , m_workMeter(counters)
    , m_thread("control", queueBound)
{
    addOperatorRoute(operatorServer, "/notes", [this](const net::HttpRequest& request) {
        return request.method == "POST" ? submitNote(request) : showNotes(request);
    });
    addOperatorRoute(operatorServer, "/members", [this](const net::HttpRequest&) { return showMembers(); });
    addOperatorRoute(operatorServer, evacuationsPath,
        [this](const net::HttpRequest& request) { return handleEvacuationRequest(request); });
    operatorServer.addStatus("evacuated", [this] { return m_evacuations.evacuated(); });
}

ControlNode::~ControlNode() noexcept { stop(); }

// Requests to an instance without a disk are redirected.
void ControlNode::addOperatorRoute(
    net::OperatorServer& server, std::string_view path, net::OperatorServer::Handler handler)
{
    server.addRoute(std::string(path), [this, handler = std::move(handler)](const net::HttpRequest& request) {
        auto redirection = redirect(request);
        return redirection ? std::move(*redirection) : handler(request);
    });
}

bool ControlNode::start()
{
    return m_thread.start([this](net::EventLoop& loop) { setUp(loop); }, [this] { tearDown(); });
}

void ControlNode::stop()
{
    auto left = std::make_shared<std::promise<void>>();
    auto finished = left->get_future();
    const bool queued = m_thread.post([this, left](net::EventLoop&) {
        if (m_log)
            m_log->leave([left] { left->set_value(); });
    });
    if (queued)
        finished.wait_for(leaveTimeout);
    m_thread.stop();
}

void ControlNode::setUp(net::EventLoop& loop)
{
    m_loop = &loop;
    m_state = std::make_unique<ClusterState>(0); // the journal has the id of the cluster
    m_log = std::make_unique<QuorumLog>(
        m_settings, loop, *m_state, m_counters, m_workMeter, [this] { handleStateChange(); });
    handleStateChange();
    m_server = kj::heap<capnp::TwoPartyServer>(kj::heap<RpcServer>(*this));
    sockaddr_storage socket {};
    const socklen_t length = m_settings.listen.toSocket(socket);
    m_receiver = loop.network().getSockaddr(&socket, length)->listen();
    loop.spawn(m_server->listen(*m_receiver));
    loop.spawn(checkLeasesPeriodically());
}

void ControlNode::tearDown()
{
    m_waitingSubscribers.clear();
    m_server = nullptr;
    m_receiver = nullptr;
    m_log.reset();
    m_state.reset();
}

kj::Promise<void> ControlNode::checkLeasesPeriodically()
{
    return m_loop->timer().afterDelay(leaseCheckInterval).then([this] {
        removeExpiredMembers();
        return checkLeasesPeriodically();
    });
}

LeaseTable::Time ControlNode::now() const
{
    const auto sinceOrigin = m_loop->timer().now() - kj::origin<kj::TimePoint>();
    return LeaseTable::Time(sinceOrigin / kj::MILLISECONDS);
}

void ControlNode::removeExpiredMembers()
{
    if (!m_log->isActiveLeader()) {
        m_leases.clear();
        return;
    }
    const auto expired = m_leases.expired(m_state->membership(), now());
    m_counters.counter("leases_guarded") = m_leases.guardedMembers();
    m_counters.counter("leases_ended_total") += expired.size();
    auto& removed = m_pendingMembers.removed;
    removed.insert(removed.end(), expired.begin(), expired.end());
    for (const std::uint32_t id : expired)
        observe::log(observe::Level::Warn, "lease-ended", { { "member", id } });
    if (!removed.empty())
        proposeMemberUpdate();
}

// Proposes one update at a time; changes that arrive meanwhile go into the next one.
void ControlNode::proposeMemberUpdate()
{
    const bool isEmpty
        = m_pendingMembers.joined.empty() && m_pendingMembers.draining.empty() && m_pendingMembers.removed.empty();
    if (m_proposalInProgress || isEmpty)
        return;
    m_proposalInProgress = true;
    m_log->propose(std::exchange(m_pendingMembers, {}), [this](ProposeStatus) {
        m_proposalInProgress = false;
        wakeSubscribers();
        proposeMemberUpdate();
    });
}

kj::Promise<void> ControlNode::waitForNewerRevision(std::uint64_t revision)
{
    if (m_state->membership().revision > revision)
        return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<void>();
    m_waitingSubscribers.push_back(kj::mv(paf.fulfiller));
    return paf.promise.exclusiveJoin(m_loop->timer().afterDelay(changesHoldTime));
}

void ControlNode::handleStateChange()
{
    m_evacuations.update(m_state->membership());
    m_views.clear();
    wakeSubscribers();
}

void ControlNode::wakeSubscribers()
{
    for (auto& waiting : std::exchange(m_waitingSubscribers, {}))
        waiting->fulfill();
}

// Runs `work` on the control thread and blocks the operator server's thread until `work` calls its second argument.
// Responds with 503 when the queue is full and with 504 after ten seconds.
net::HttpResponse ControlNode::runOnControlThread(std::function<void(net::HttpResponse&, std::function<void()>)> work)
{
    struct Call {
        net::HttpResponse response;
        std::promise<void> done;
    };
    auto call = std::make_shared<Call>();
    auto finished = call->done.get_future();
    const bool queued = m_thread.post(
        [call, work = std::move(work)](net::EventLoop&) { work(call->response, [call] { call->done.set_value(); }); });
    if (!queued)
        return errorResponse(503, "overloaded");
    if (finished.wait_for(operatorTimeout) != std::future_status::ready)
        return errorResponse(504, "timeout");
    return call->response;
}

// Proposes again until the deadline while there is no leader or no quorum, as during an election.
void ControlNode::proposeWithRetry(std::shared_ptr<const EncodedCommand> command,
    const std::function<bool()>& isInForce, kj::TimePoint deadline, std::function<void(ProposeStatus)> done)
{
    if (isInForce()) {
        done(ProposeStatus::Committed);
        return;
    }
    m_log->propose(*command, [this, command, isInForce, deadline, done = std::move(done)](ProposeStatus status) {
        const bool isTransient = status == ProposeStatus::NotLeader || status == ProposeStatus::NoQuorum;
        if (!isTransient || m_loop->timer().now() >= deadline) {
            done(status);
            return;
        }
        m_loop->spawn(m_loop->timer().afterDelay(proposalRetryDelay).then([this, command, isInForce, deadline, done] {
            proposeWithRetry(command, isInForce, deadline, done);
        }));
    });
}

// Commands are encoded on the caller's thread, because a large one would hold up the control thread's heartbeats.
ProposeStatus ControlNode::proposeAndWait(
    EncodedCommand command, const std::function<void()>& whenCommitted, const std::function<bool()>& isInForce)
{
    auto result = std::make_shared<std::promise<ProposeStatus>>();
    auto finished = result->get_future();
    const auto shared = std::make_shared<const EncodedCommand>(std::move(command));
    const auto began = std::chrono::steady_clock::now();
    const bool queued = m_thread.post([this, shared, result, whenCommitted, isInForce](net::EventLoop& loop) {
        const auto deadline
            = loop.timer().now() + std::chrono::milliseconds(proposalTimeout).count() * kj::MILLISECONDS;
        proposeWithRetry(shared, isInForce, deadline, [this, result, whenCommitted](ProposeStatus status) {
            if (status == ProposeStatus::Committed) {
                whenCommitted();
                wakeSubscribers();
            }
            result->set_value(status);
        });
    });
    if (!queued)
        return ProposeStatus::Overloaded;
    if (finished.wait_for(proposalTimeout) != std::future_status::ready)
        return ProposeStatus::NoQuorum;
    const auto elapsed = std::chrono::steady_clock::now() - began;
    m_proposalMillis.add(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
    return finished.get();
}

ProposeStatus ControlNode::publishRouteTable(flow::RouteTable table)
{
    const std::uint64_t version = table.version;
    const std::size_t routes = table.routes.size();
    const std::size_t bytes = table.document.size();
    const auto began = std::chrono::steady_clock::now();
    // A state that was applied is committed, so any instance may acknowledge a table that it has or that is overtaken.
    const auto isInForce
        = [this, version] { return m_log->isRunning() && m_state->membership().routeVersion >= version; };
    const auto status = proposeAndWait(
        encode(PublishRoutes { std::move(table) }), [] {}, isInForce);
    const auto elapsed = std::chrono::steady_clock::now() - began;
    m_counters.counter("route_tables_total", "status", kernel::nameOf(status)) += 1;
    observe::log(status == ProposeStatus::Committed ? observe::Level::Info : observe::Level::Warn, "route-table",
        { { "version", version }, { "routes", routes }, { "bytes", bytes }, { "status", kernel::nameOf(status) },
            { "millis", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() } });
    return status;
}

ProposeStatus ControlNode::setEvacuation(const SetEvacuation& order)
{
    const auto status = proposeAndWait(encode(order), [] {});
    m_counters.counter("evacuation_orders_total", "status", kernel::nameOf(status)) += 1;
    observe::log(status == ProposeStatus::Committed ? observe::Level::Info : observe::Level::Warn, "evacuation-order",
        { { "domain", order.domain }, { "active", order.active }, { "status", kernel::nameOf(status) } });
    return status;
}

ControlNode::RouteTableReading ControlNode::readRouteTable()
{
    // Shared, because the control thread may fill it after this call has timed out.
    const auto reading = std::make_shared<RouteTableReading>();
    const auto status = proposeAndWait(encode(Barrier {}), [this, reading] {
        reading->version = m_state->membership().routeVersion;
        reading->document = m_state->routeDocument();
    });
    m_counters.counter("route_reads_total", "status", kernel::nameOf(status)) += 1;
    if (status != ProposeStatus::Committed)
        return { status, 0, {} };
    return { status, reading->version, reading->document };
}

std::optional<net::HttpResponse> ControlNode::redirect(const net::HttpRequest& request)
{
    if (!m_settings.data.empty())
        return std::nullopt;
    auto response = runOnControlThread([this](net::HttpResponse& result, std::function<void()> done) {
        if (const auto target = m_log->operatorTarget())
            result.location = "http://" + target->text();
        done();
    });
    m_counters.counter("requests_redirected_total", "target", response.location.empty() ? "none" : "known") += 1;
    if (response.location.empty())
        return errorResponse(503, "no-quorum");
    response.status = 307;
    response.location += request.encodedPath + (request.query.empty() ? "" : "?" + request.query);
    observe::log(observe::Level::Info, "request-redirected",
        { { "method", request.method }, { "location", response.location } });
    return response;
}

void ControlNode::addDiscoveryPeers(const std::vector<net::Address>& addresses)
{
    m_thread.post([this, addresses](net::EventLoop&) {
        if (m_log)
            m_log->addDiscoveryPeers(addresses);
    });
}

net::HttpResponse ControlNode::dryRunNote(const net::HttpRequest& request)
{
    return runOnControlThread([this, text = request.body](net::HttpResponse& response, std::function<void()> done) {
        const auto outcome = m_state->validateNote(text);
        response = toResponse(outcome);
        settings::Faults faults;
        const auto note = parseNote(text, faults);
        if (outcome.status == NoteStatus::Accepted && note) {
            auto body = nlohmann::json::parse(response.body);
            body["dryRun"] = true;
            body["difference"] = noteDifference(m_state->membership(), *note);
            response.body = body.dump();
        }
        done();
    });
}

net::HttpResponse ControlNode::submitNote(const net::HttpRequest& request)
{
    if (request.query == "dry-run=1")
        return dryRunNote(request);
    return runOnControlThread([this, text = request.body](net::HttpResponse& response, std::function<void()> done) {
        // A follower's state may be older than a response that the same operator has received, so only the leader
        // refuses a note without proposing it.
        const auto presentOutcome = m_state->validateNote(text);
        if (m_log->isActiveLeader() && presentOutcome.status != NoteStatus::Accepted) {
            response = toResponse(presentOutcome);
            done();
            return;
        }
        m_log->propose(SubmitNote { text }, [this, text, &response, done](ProposeStatus status) {
            m_counters.counter("notes_submitted_total", "status", kernel::nameOf(status)) += 1;
            // A note that was applied before gets its first outcome. A note that was refused when it was applied, but
            // would be accepted now, is not accepted: its author sends it again.
            const auto outcome = m_state->validateNote(text);
            const bool isFinal = outcome.status != NoteStatus::Accepted || m_state->notes().contains(outcome.number);
            if (status == ProposeStatus::Committed && isFinal)
                response = toResponse(outcome);
            else
                response
                    = errorResponse(503, status == ProposeStatus::Committed ? "state-changed" : kernel::nameOf(status));
            wakeSubscribers();
            done();
        });
    });
}

net::HttpResponse ControlNode::showNote(const std::string& number)
{
    return runOnControlThread([this, number](net::HttpResponse& response, std::function<void()> done) {
        const auto& notes = m_state->notes();
        const auto found = std::find_if(
            notes.begin(), notes.end(), [&number](const auto& note) { return std::to_string(note.first) == number; });
        response = errorResponse(404, "unknown-note");
        if (found != notes.end()) {
            const auto& [noteNumber, record] = *found;
            response = { 200, "application/json",
                nlohmann::json { { "number", noteNumber }, { "author", record.author }, { "revision", record.revision },
                    { "note", nlohmann::json::parse(record.content, nullptr, false) } }
                    .dump() };
        }
        done();
    });
}

net::HttpResponse ControlNode::showNotes(const net::HttpRequest& request)
{
    constexpr std::string_view prefix = "/notes/";
    if (request.path.starts_with(prefix))
        return showNote(request.path.substr(prefix.size()));
    return runOnControlThread([this](net::HttpResponse& response, std::function<void()> done) {
        auto list = nlohmann::json::array();
        for (const auto& [number, note] : m_state->notes())
            list.push_back({ { "number", number }, { "author", note.author }, { "revision", note.revision } });
        nlohmann::json body { { "revision", m_state->membership().revision }, { "notes", list } };
        std::erase_if(
            m_subscribers, [this](const auto& entry) { return now() - entry.second.lastSeen > subscriberRetention; });
        auto& inForce = body["inForce"] = nlohmann::json::object();
        for (const auto& [name, subscriber] : m_subscribers)
            inForce[name] = subscriber.revision;
        response.body = body.dump();
        done();
    });
}

net::HttpResponse ControlNode::showMembers()
{
    return runOnControlThread([this](net::HttpResponse& response, std::function<void()> done) {
        auto list = nlohmann::json::array();
        for (const auto& member : m_state->membership().members) {
            const auto* service = m_state->membership().service(member.service);
            list.push_back({ { "id", member.id }, { "agent", member.agent },
                { "service", service ? service->name : "" }, { "trunk", member.trunk.text() },
                { "domain", member.domain }, { "state", kernel::nameOf(member.state) } });
        }
        response.body
            = nlohmann::json { { "members", list } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        done();
    });
}

// Includes every order that was acknowledged before the request, at whichever instance.
net::HttpResponse ControlNode::showEvacuations()
{
    const auto body = std::make_shared<nlohmann::json>();
    const auto status = proposeAndWait(encode(Barrier {}), [this, body] {
        *body = { { "evacuated", m_state->membership().evacuated }, { "revision", m_state->membership().revision } };
    });
    if (status != ProposeStatus::Committed)
        return errorResponse(503, kernel::nameOf(status));
    return { 200, "application/json", body->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

net::HttpResponse ControlNode::handleEvacuationRequest(const net::HttpRequest& request)
{
    if (request.method == "GET" && request.path == evacuationsPath)
        return showEvacuations();
    return answerEvacuationRequest(
        request, evacuationsPath, [this](const SetEvacuation& order) { return setEvacuation(order); });
}

} // namespace yuccahook::control
