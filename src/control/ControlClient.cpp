#include "control/ControlClient.h"

#include "control/MembershipCodec.h"
#include "control/ViewCache.h"
#include "net/MeteredStream.h"
#include "observe/Log.h"

#include <algorithm>
#include <chrono>
#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace yuccahook::control {

namespace {

constexpr std::size_t queueBound = 1024;
constexpr auto connectTimeout = 500 * kj::MILLISECONDS;
constexpr auto retryDelay = 50 * kj::MILLISECONDS; // short, since all processes start together after a power failure
// without a byte of the reply; longer than a control instance holds the call
constexpr auto changesTimeout = 1200 * kj::MILLISECONDS;
constexpr auto announceTimeout = 1 * kj::SECONDS;
constexpr std::size_t maximumAddresses = 32; // several times the control instances of a site
constexpr auto announceInterval = 2 * kj::SECONDS;
constexpr auto announceRetry = 200 * kj::MILLISECONDS;

using Changes = capnp::Response<schema::Control::ChangesResults>;

std::int64_t nowMillis()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// An instance of an earlier release sends the view itself.
flow::MembershipDelta readNewerView(schema::Control::ChangesResults::Reader response)
{
    if (!response.hasCompressedView())
        return readDelta(response.getView());
    const auto bytes = response.getCompressedView();
    auto delta = decodeView({ reinterpret_cast<const char*>(bytes.begin()), bytes.size() });
    KJ_REQUIRE(delta.has_value(), "the view is damaged");
    return std::move(*delta);
}

} // namespace

/// One RPC connection to a control instance.
struct ControlClient::Connection {
    net::MeteredStream stream;
    capnp::TwoPartyClient rpc;
    schema::Control::Client control;

    Connection(kj::Own<kj::AsyncIoStream> connected, kj::Timer& timer)
        : stream(kj::mv(connected), timer)
        , rpc(stream)
        , control(rpc.bootstrap().castAs<schema::Control>())
    {
    }
};

ControlClient::ControlClient(std::string subscriber, std::vector<net::Address> addresses)
    : m_subscriber(std::move(subscriber))
    , m_thread("control-client", queueBound)
    , m_membership(std::make_shared<flow::Membership>())
    , m_lastContactMillis(nowMillis())
    , m_addresses(std::move(addresses))
    , m_nextAddress(std::hash<std::string> {}(m_subscriber)) // spreads subscribers over the instances
{
}

ControlClient::~ControlClient() noexcept { stop(); }

bool ControlClient::start()
{
    return m_thread.start(
        [this](net::EventLoop& loop) {
            m_loop = &loop;
            loop.spawn(keepConnected());
            loop.spawn(announcePeriodically());
        },
        [this] { m_connection = nullptr; });
}

void ControlClient::stop() { m_thread.stop(); }

void ControlClient::onMembership(MembershipListener listener) { m_listeners.push_back(std::move(listener)); }

void ControlClient::announce(const Announcement& announcement)
{
    m_thread.post([this, announcement](net::EventLoop& loop) {
        m_announcement = announcement;
        m_joined = false;
        followService(announcement.service);
        loop.spawn(sendAnnouncement());
    });
}

flow::MembershipPointer ControlClient::membership() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership;
}

std::uint64_t ControlClient::stalenessMillis() const
{
    return static_cast<std::uint64_t>(nowMillis() - m_lastContactMillis.load());
}

void ControlClient::publish(flow::MembershipPointer membership)
{
    {
        const std::lock_guard lock(m_mutex);
        m_membership = membership;
    }
    observe::log(observe::Level::Info, "membership",
        { { "revision", membership->revision }, { "routeVersion", membership->routeVersion },
            { "routes", membership->routes.size() }, { "members", membership->members.size() },
            { "from", m_connectedTo.text() }, { "bytes", m_connection->stream.receivedBytes() },
            { "transferMillis", m_connection->stream.transferMillis() } });
    for (const auto& listener : m_listeners)
        listener(membership);
}

void ControlClient::addControlAddresses(const std::vector<net::Address>& addresses)
{
    m_thread.post([this, addresses](net::EventLoop&) { addNewAddresses(addresses); });
}

void ControlClient::addNewAddresses(const std::vector<net::Address>& addresses)
{
    for (const auto& address : addresses) {
        if (std::find(m_addresses.begin(), m_addresses.end(), address) != m_addresses.end())
            continue;
        m_addresses.insert(m_addresses.begin(), address);
        if (m_addresses.size() > maximumAddresses)
            m_addresses.pop_back();
    }
}

kj::Promise<void> ControlClient::keepConnected()
{
    return connect(m_nextAddress++)
        .then([this] { return followChanges(); })
        .catch_([this](kj::Exception&& exception) {
            const bool wasReceiving = m_connection && m_connection->stream.transferMillis() > 0;
            if (std::exchange(m_connected, false) || wasReceiving)
                logContactLost(exception);
            m_connection = nullptr;
        })
        .then([this] { return m_loop->timer().afterDelay(retryDelay); })
        .then([this] { return keepConnected(); });
}

// Bytes that arrived before a time limit passed tell a reply that is too large for the link from a silent instance.
void ControlClient::logContactLost(const kj::Exception& exception) const
{
    nlohmann::json fields { { "reason", exception.getDescription().cStr() }, { "address", m_connectedTo.text() } };
    if (m_connection) {
        fields["bytes"] = m_connection->stream.receivedBytes();
        fields["transferMillis"] = m_connection->stream.transferMillis();
    }
    observe::log(observe::Level::Warn, "control-contact-lost", fields);
}

kj::Promise<void> ControlClient::connect(std::size_t attempt)
{
    const net::Address address = m_addresses[attempt % m_addresses.size()];
    sockaddr_storage socket {};
    const socklen_t length = address.toSocket(socket);
    auto target = m_loop->network().getSockaddr(&socket, length);
    auto connecting = target->connect().attach(kj::mv(target));
    return m_loop->timer().timeoutAfter(connectTimeout, kj::mv(connecting)).then([this, address](auto stream) {
        m_connectedTo = address;
        m_connection = kj::heap<Connection>(kj::mv(stream), m_loop->timer());
    });
}

kj::Promise<void> ControlClient::followChanges()
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    m_interruptChanges = kj::mv(paf.fulfiller);
    return requestChanges().exclusiveJoin(kj::mv(paf.promise)).then([this] { return followChanges(); });
}

kj::Promise<void> ControlClient::requestChanges()
{
    const bool requestedFull = m_needsFullDelta;
    m_connection->stream.restart();
    auto request = m_connection->control.changesRequest();
    request.setSubscriber(m_subscriber);
    request.setAfter(requestedFull ? 0 : membership()->revision);
    request.setAllServices(!m_services.has_value());
    request.setCompressed(true);
    if (m_services) {
        auto names = request.initServices(m_services->size());
        unsigned index = 0;
        for (const auto& name : *m_services)
            names.set(index++, textOf(name));
    }
    kj::Promise<Changes> reply = request.send();
    return m_connection->stream.whileReceiving(kj::mv(reply), changesTimeout)
        .then([this, requestedFull](Changes response) {
            const auto status = static_cast<ChangesStatus>(response.getStatus());
            if (status == ChangesStatus::NotCurrent) {
                addNewAddresses(readDelta(response.getView()).controlAddresses);
                KJ_FAIL_REQUIRE("control instance is not in contact with a quorum");
            }
            m_lastContactMillis = nowMillis();
            if (!std::exchange(m_connected, true))
                observe::log(observe::Level::Info, "control-contact", { { "address", m_connectedTo.text() } });
            if (status == ChangesStatus::Newer)
                handleDelta(readNewerView(response), requestedFull);
        });
}

void ControlClient::handleDelta(const flow::MembershipDelta& delta, bool requestedFull)
{
    const auto before = membership();
    flow::MembershipPointer after;
    if (!requestedFull)
        after = flow::applyDelta(*before, delta);
    else if (delta.full && delta.revision >= before->revision
        && (delta.cluster == before->cluster || before->cluster == 0))
        after = flow::applyDelta({}, delta);
    if (!after) {
        observe::log(observe::Level::Error, "membership-refused",
            { { "revision", delta.revision }, { "have", before->revision } });
        KJ_FAIL_REQUIRE("membership refused: not newer than the present one, or of another cluster");
    }
    addNewAddresses(delta.controlAddresses);
    // The services that an earlier release has left out before come with a full delta only.
    const bool lacksServices = delta.hasAllServices && !after->hasAllServices;
    m_needsFullDelta = lacksServices || (m_needsFullDelta && !requestedFull);
    publish(std::move(after));
}

void ControlClient::followService(const std::string& service)
{
    if (!m_services || m_services->contains(service))
        return;
    m_services = { service };
    m_needsFullDelta = true;
    if (m_interruptChanges.get())
        m_interruptChanges->fulfill();
}

kj::Promise<void> ControlClient::announcePeriodically()
{
    return sendAnnouncement()
        .then([this] { return m_loop->timer().afterDelay(m_joined ? announceInterval : announceRetry); })
        .then([this] { return announcePeriodically(); });
}

kj::Promise<void> ControlClient::sendAnnouncement()
{
    if (!m_announcement || !m_connection)
        return kj::READY_NOW;
    auto request = m_connection->control.announceRequest();
    auto builder = request.initAnnouncement();
    builder.setAgent(m_announcement->agent);
    builder.setIncarnation(m_announcement->incarnation);
    builder.setService(textOf(m_announcement->service));
    net::writeEndpoint(builder.initTrunk(), m_announcement->trunk);
    builder.setDomain(m_announcement->domain);
    builder.setWeight(m_announcement->weight);
    builder.setSlots(m_announcement->slots);
    builder.setConnections(m_announcement->connections);
    builder.setDraining(m_announcement->draining);
    builder.setLeft(m_announcement->left);
    return m_loop->timer()
        .timeoutAfter(announceTimeout, request.send())
        .then([this](auto response) {
            const auto status = static_cast<AnnounceStatus>(response.getStatus());
            m_joined = status == AnnounceStatus::Joined;
            // The clock may have been set back since it gave the previous incarnation.
            if (status == AnnounceStatus::OldIncarnation)
                m_announcement->incarnation = response.getIncarnation() + 1;
        })
        .catch_([](kj::Exception&& exception) {
            observe::log(observe::Level::Debug, "announce-failed", { { "reason", exception.getDescription().cStr() } });
        });
}

} // namespace yuccahook::control
