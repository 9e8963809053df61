#include "net/StreamRelay.h"

#include <algorithm>
#include <kj/debug.h>
#include <sys/socket.h>

namespace yuccahook::net {

/// Implements the capability that the other end holds. It shares ownership of the relay.
class StreamRelay::EndServer final : public schema::StreamEnd::Server {
public:
    explicit EndServer(kj::Own<StreamRelay> relay)
        : m_relay(kj::mv(relay))
    {
        ++m_relay->m_referencedEnds;
    }

    ~EndServer() noexcept(false) { m_relay->handleEndReleased(); }

    kj::Promise<void> segment(SegmentContext context) override
    {
        const auto params = context.getParams();
        return m_relay->handleSegment(params.getOffset(), params.getBytes(), params.getLast())
            .then([this, context]() mutable { context.getResults().setReceived(m_relay->received()); });
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

schema::StreamEnd::Client StreamRelay::streamEnd() { return kj::heap<EndServer>(kj::addRef(*this)); }

void StreamRelay::attach(schema::StreamEnd::Client remote, std::uint64_t remoteReceived)
{
    ++m_attachment;
    m_remote = kj::mv(remote);
    m_attached = true;
    m_lastSent = false;
    handleAcknowledgement(remoteReceived, m_attachment);
    m_nextOffset = m_acknowledgedBytes;
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
    if (m_read - m_acknowledgedBytes >= windowBytes) {
        auto paf = kj::newPromiseAndFulfiller<void>();
        m_windowOpened = kj::mv(paf.fulfiller);
        return paf.promise.then([this] { return readLocal(); });
    }
    std::vector<kj::byte> bytes(m_nextReadBytes);
    kj::byte* buffer = bytes.data();
    return m_local->stream->tryRead(buffer, 1, m_nextReadBytes)
        .then([this, bytes = kj::mv(bytes)](std::size_t count) mutable -> kj::Promise<void> {
            if (m_finished)
                return kj::READY_NOW;
            if (count == 0) {
                m_readEnd = true;
                sendPending();
                return kj::READY_NOW;
            }
            m_nextReadBytes = count == bytes.size() ? std::min(m_nextReadBytes * 2, segmentBytes) : idleReadBytes;
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
        if (segment.offset < m_nextOffset)
            continue;
        m_nextOffset = segment.offset + segment.bytes.size();
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
            handleAcknowledgement(response.getReceived(), attachment);
            if (last && m_endWhenLocalEnds)
                reset(flow::RefusalReason::None);
        })
        .detach([this, self = kj::addRef(*this), attachment](kj::Exception&&) { handleTrunkLoss(attachment); });
}

void StreamRelay::handleTrunkLoss(std::uint64_t attachment)
{
    if (attachment != m_attachment || !m_attached)
        return;
    detach();
    m_onTrunkLost();
}

// The other end has released all its references to this one: its process or the connection to it has ended.
void StreamRelay::handleEndReleased()
{
    if (--m_referencedEnds == 0)
        handleTrunkLoss(m_attachment);
}

void StreamRelay::probe(kj::Timer& timer, kj::Duration timeout)
{
    KJ_IF_MAYBE (remote, m_remote) {
        auto request = remote->segmentRequest();
        request.setOffset(0);
        const std::uint64_t attachment = m_attachment;
        timer.timeoutAfter(timeout, request.send().ignoreResult())
            .detach([this, self = kj::addRef(*this), attachment](kj::Exception&&) { handleTrunkLoss(attachment); });
    }
}

void StreamRelay::handleAcknowledgement(std::uint64_t received, std::uint64_t attachment)
{
    if (attachment != m_attachment || m_finished)
        return;
    m_acknowledgedBytes = std::max(m_acknowledgedBytes, std::min(received, m_read));
    while (!m_unacknowledged.empty()) {
        Segment& first = m_unacknowledged.front();
        const std::uint64_t end = first.offset + first.bytes.size();
        if (end <= m_acknowledgedBytes) {
            m_unacknowledged.pop_front();
            continue;
        }
        if (first.offset < m_acknowledgedBytes) {
            first.bytes.erase(first.bytes.begin(), first.bytes.begin() + (m_acknowledgedBytes - first.offset));
            first.offset = m_acknowledgedBytes;
        }
        break;
    }
    if (m_read - m_acknowledgedBytes < windowBytes) {
        KJ_IF_MAYBE (windowOpen, m_windowOpened) {
            (*windowOpen)->fulfill();
            m_windowOpened = nullptr;
        }
    }
    checkDone();
}

kj::Promise<void> StreamRelay::handleSegment(std::uint64_t offset, kj::ArrayPtr<const kj::byte> bytes, bool last)
{
    if (m_finished)
        return KJ_EXCEPTION(FAILED, "segment received after the stream finished");
    if (offset > m_received)
        return KJ_EXCEPTION(FAILED, "segment offset is beyond the bytes received so far");
    const std::uint64_t duplicateBytes = std::min<std::uint64_t>(m_received - offset, bytes.size());
    auto newBytes = kj::heapArray<kj::byte>(bytes.slice(duplicateBytes, bytes.size()));
    m_received += newBytes.size();
    const bool isEnd = last && !m_lastReceived;
    m_lastReceived = m_lastReceived || last;
    auto writing = m_writes.addBranch().then([this, newBytes = kj::mv(newBytes), isEnd]() mutable -> kj::Promise<void> {
        if (m_finished)
            return kj::READY_NOW;
        auto written = newBytes.size() == 0
            ? kj::Promise<void>(kj::READY_NOW)
            : m_local->stream->write(newBytes.begin(), newBytes.size()).attach(kj::mv(newBytes), kj::addRef(*m_local));
        if (!isEnd)
            return written;
        return written.then([this] {
            m_local->stream->shutdownWrite();
            m_lastWritten = true;
            checkDone();
        });
    });
    m_writes = writing.attach(kj::addRef(*this)).fork();
    auto finished = m_done.addBranch().then(
        [this] { KJ_REQUIRE(m_lastWritten, "stream finished before its last bytes were written"); });
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

// Ends the local stream here, because the other end may still keep this relay alive.
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
