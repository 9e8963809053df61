#include "net/StreamRelay.h"

#include <algorithm>
#include <kj/debug.h>
#include <sys/socket.h>

namespace yuccahook::net {

/// The capability that the other end holds; it may outlive the relay.
class StreamRelay::End final : public schema::StreamEnd::Server {
public:
    explicit End(kj::Own<StreamRelay> relay)
        : m_relay(kj::mv(relay))
    {
        ++m_relay->m_ends;
    }

    ~End() noexcept(false) { m_relay->endDropped(); }

    kj::Promise<void> segment(SegmentContext context) override
    {
        const auto params = context.getParams();
        return m_relay->take(params.getOffset(), params.getBytes(), params.getLast()).then([this, context]() mutable {
            context.getResults().setReceived(m_relay->received());
        });
    }

    kj::Promise<void> reset(ResetContext) override
    {
        m_relay->finish();
        return kj::READY_NOW;
    }

private:
    kj::Own<StreamRelay> m_relay;
};

StreamRelay::StreamRelay(kj::Own<kj::AsyncIoStream> local)
    : m_local(kj::refcounted<Local>())
    , m_done(nullptr)
    , m_writes(kj::Promise<void>(kj::READY_NOW).fork())
    , m_reading(nullptr)
{
    m_local->stream = kj::mv(local);
    auto paf = kj::newPromiseAndFulfiller<void>();
    m_done = paf.promise.fork();
    m_doneFulfiller = kj::mv(paf.fulfiller);
    m_reading = kj::evalLater([this] { return readLocal(); }).eagerlyEvaluate([this](kj::Exception&&) {
        reset(flow::RefusalReason::None);
    });
}

StreamRelay::~StreamRelay() noexcept(false) = default;

schema::StreamEnd::Client StreamRelay::streamEnd() { return kj::heap<End>(kj::addRef(*this)); }

void StreamRelay::attach(schema::StreamEnd::Client remote, std::uint64_t remoteReceived)
{
    ++m_attachment;
    m_remote = kj::mv(remote);
    m_attached = true;
    m_lastSent = false;
    acknowledged(remoteReceived, m_attachment);
    m_nextToSend = m_acknowledged;
    sendPending();
}

void StreamRelay::detach()
{
    m_attached = false;
    m_remote = nullptr;
}

void StreamRelay::reset(flow::RefusalReason reason)
{
    if (m_finished)
        return;
    KJ_IF_MAYBE (remote, m_remote) {
        auto request = remote->resetRequest();
        request.setReason(static_cast<std::uint8_t>(reason));
        request.send().detach([](kj::Exception&&) {});
    }
    finish();
}

kj::Promise<void> StreamRelay::readLocal()
{
    if (m_read - m_acknowledged >= windowBytes) {
        auto paf = kj::newPromiseAndFulfiller<void>();
        m_windowOpen = kj::mv(paf.fulfiller);
        return paf.promise.then([this] { return readLocal(); });
    }
    std::vector<kj::byte> bytes(m_readBytes);
    kj::byte* buffer = bytes.data();
    return m_local->stream->tryRead(buffer, 1, m_readBytes)
        .then([this, bytes = kj::mv(bytes)](std::size_t count) mutable -> kj::Promise<void> {
            if (m_finished)
                return kj::READY_NOW;
            if (count == 0) {
                m_readEnd = true;
                sendPending();
                return kj::READY_NOW;
            }
            m_readBytes = count == bytes.size() ? std::min(m_readBytes * 2, segmentBytes) : idleReadBytes;
            bytes.resize(count);
            bytes.shrink_to_fit();
            m_unacknowledged.push_back({ m_read, kj::mv(bytes) });
            m_read += count;
            sendPending();
            return readLocal();
        });
}

void StreamRelay::sendPending()
{
    if (!m_attached)
        return;
    for (const auto& segment : m_unacknowledged) {
        if (segment.offset < m_nextToSend)
            continue;
        m_nextToSend = segment.offset + segment.bytes.size();
        send(segment, false);
    }
    if (m_readEnd && !m_lastSent) {
        m_lastSent = true;
        send({ m_read, {} }, true);
    }
}

void StreamRelay::send(const Segment& segment, bool last)
{
    auto& remote = KJ_ASSERT_NONNULL(m_remote);
    auto request = remote.segmentRequest();
    request.setOffset(segment.offset);
    request.setBytes(kj::arrayPtr(segment.bytes.data(), segment.bytes.size()));
    request.setLast(last);
    const std::uint64_t attachment = m_attachment;
    request.send()
        .then([this, self = kj::addRef(*this), attachment, last](auto response) {
            if (last)
                m_lastAcknowledged = true;
            acknowledged(response.getReceived(), attachment);
            if (last && m_endWithLocal)
                reset(flow::RefusalReason::None);
        })
        .detach([this, self = kj::addRef(*this), attachment](kj::Exception&&) { trunkLost(attachment); });
}

void StreamRelay::trunkLost(std::uint64_t attachment)
{
    if (attachment != m_attachment || !m_attached)
        return;
    detach();
    m_onDetached();
}

// The other end lost all it had of this one: its process or the connection to it has ended.
void StreamRelay::endDropped()
{
    if (--m_ends == 0)
        trunkLost(m_attachment);
}

void StreamRelay::probe(kj::Timer& timer, kj::Duration timeout)
{
    KJ_IF_MAYBE (remote, m_remote) {
        auto request = remote->segmentRequest();
        request.setOffset(0);
        const std::uint64_t attachment = m_attachment;
        timer.timeoutAfter(timeout, request.send().ignoreResult())
            .detach([this, self = kj::addRef(*this), attachment](kj::Exception&&) { trunkLost(attachment); });
    }
}

void StreamRelay::acknowledged(std::uint64_t received, std::uint64_t attachment)
{
    if (attachment != m_attachment || m_finished)
        return;
    m_acknowledged = std::max(m_acknowledged, std::min(received, m_read));
    while (!m_unacknowledged.empty()) {
        Segment& first = m_unacknowledged.front();
        const std::uint64_t end = first.offset + first.bytes.size();
        if (end <= m_acknowledged) {
            m_unacknowledged.pop_front();
            continue;
        }
        if (first.offset < m_acknowledged) {
            first.bytes.erase(first.bytes.begin(), first.bytes.begin() + (m_acknowledged - first.offset));
            first.offset = m_acknowledged;
        }
        break;
    }
    if (m_read - m_acknowledged < windowBytes) {
        KJ_IF_MAYBE (windowOpen, m_windowOpen) {
            (*windowOpen)->fulfill();
            m_windowOpen = nullptr;
        }
    }
    checkDone();
}

kj::Promise<void> StreamRelay::take(std::uint64_t offset, kj::ArrayPtr<const kj::byte> bytes, bool last)
{
    if (m_finished)
        return KJ_EXCEPTION(FAILED, "stream is finished");
    if (offset > m_received)
        return KJ_EXCEPTION(FAILED, "segment leaves a gap");
    const std::uint64_t known = std::min<std::uint64_t>(m_received - offset, bytes.size());
    auto fresh = kj::heapArray<kj::byte>(bytes.slice(known, bytes.size()));
    m_received += fresh.size();
    const bool ends = last && !m_lastReceived;
    m_lastReceived = m_lastReceived || last;
    auto writing = m_writes.addBranch().then([this, fresh = kj::mv(fresh), ends]() mutable -> kj::Promise<void> {
        if (m_finished)
            return kj::READY_NOW;
        auto written = fresh.size() == 0
            ? kj::Promise<void>(kj::READY_NOW)
            : m_local->stream->write(fresh.begin(), fresh.size()).attach(kj::mv(fresh), kj::addRef(*m_local));
        if (!ends)
            return written;
        return written.then([this] {
            m_local->stream->shutdownWrite();
            m_lastWritten = true;
            checkDone();
        });
    });
    m_writes = writing.attach(kj::addRef(*this)).fork();
    auto finished = m_done.addBranch().then([this] { KJ_REQUIRE(m_lastWritten, "stream is finished"); });
    return m_writes.addBranch().exclusiveJoin(kj::mv(finished)).catch_([this](kj::Exception&& exception) {
        reset(flow::RefusalReason::None);
        kj::throwFatalException(kj::mv(exception));
    });
}

void StreamRelay::checkDone()
{
    if (m_lastWritten && m_lastAcknowledged)
        finish();
}

void StreamRelay::finish()
{
    if (m_finished)
        return;
    m_finished = true;
    m_attached = false;
    m_remote = nullptr;
    m_doneFulfiller->fulfill();
    m_closing = kj::evalLater([this] { close(); }).eagerlyEvaluate(nullptr);
}

// Ends the local stream though the other end may still hold this relay.
void StreamRelay::close()
{
    m_reading = nullptr;
    m_unacknowledged.clear();
    m_writes = kj::Promise<void>(kj::READY_NOW).fork();
    KJ_IF_MAYBE (descriptor, m_local->stream->getFd())
        shutdown(*descriptor, SHUT_RDWR);
    m_local = kj::refcounted<Local>();
}

} // namespace yuccahook::net
