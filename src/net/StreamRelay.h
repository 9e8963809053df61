#pragma once

#include "flow/RefusalReason.h"
#include "trunk.capnp.h"

#include <cstdint>
#include <deque>
#include <kj/async-io.h>
#include <kj/refcount.h>
#include <vector>

namespace yuccahook::net {

/// Relays a local byte stream to and from the other end of a trunk, in segments that carry their offset and are
/// acknowledged. The trunk may be lost and replaced: unacknowledged bytes are sent again, and bytes that arrive twice
/// are written once. At most `windowBytes` are buffered for each direction. Used on one event-loop thread.
class StreamRelay final : public kj::Refcounted {
public:
    static constexpr std::uint64_t windowBytes = 256 << 10;
    static constexpr std::size_t segmentBytes = 32 << 10;

    /// Size of an idle stream's read buffer; it doubles up to `segmentBytes` while reads fill it.
    static constexpr std::size_t idleReadBytes = 1 << 10;

    explicit StreamRelay(kj::Own<kj::AsyncIoStream> local);
    ~StreamRelay() noexcept(false) override;

    /// A capability to which the other end sends its segments.
    schema::StreamEnd::Client streamEnd();

    /// Starts or resumes sending to the other end, which has received `remoteReceived` bytes of the stream.
    void attach(schema::StreamEnd::Client remote, std::uint64_t remoteReceived);

    /// Stops sending until the next `attach`.
    void detach();
    bool attached() const { return m_attached; }

    /// Sends an empty segment to the other end; the trunk is lost when it is not acknowledged within the timeout.
    void probe(kj::Timer& timer, kj::Duration timeout);

    /// Bytes transferred in both directions so far. A stream is idle while this does not change.
    std::uint64_t transferredBytes() const { return m_read + m_received; }

    /// Bytes received from the other end so far.
    std::uint64_t received() const { return m_received; }

    /// Ends both directions at once, and resets the other end too when attached.
    void reset(flow::RefusalReason reason);

    /// Ends both directions once the local side has ended and the other end has received all its bytes, for protocols
    /// whose server closes last.
    void endWhenLocalEnds() { m_endWhenLocalEnds = true; }

    /// Resolves when both directions have ended, or at a reset.
    kj::Promise<void> whenDone() { return m_done.addBranch(); }

    /// Sets the function to call each time the trunk is lost.
    void onTrunkLost(kj::Function<void()> callback) { m_onTrunkLost = kj::mv(callback); }

    bool finished() const { return m_finished; }

private:
    class EndServer;
    friend class EndServer;

    struct Segment {
        std::uint64_t offset;
        std::vector<kj::byte> bytes;
    };

    kj::Promise<void> readLocal();
    void sendPending();
    void send(const Segment& segment, bool last);
    void handleAcknowledgement(std::uint64_t received, std::uint64_t attachment);
    kj::Promise<void> handleSegment(std::uint64_t offset, kj::ArrayPtr<const kj::byte> bytes, bool last);
    void checkDone();
    void finish();
    void close();
    void handleEndReleased();
    void handleTrunkLoss(std::uint64_t attachment);

    /// The local stream. Shared with writes in progress, which may outlive the relay.
    struct Local : kj::Refcounted {
        kj::Own<kj::AsyncIoStream> stream;
    };

    kj::Own<Local> m_local;
    kj::ForkedPromise<void> m_done;
    kj::Own<kj::PromiseFulfiller<void>> m_doneFulfiller;
    kj::Function<void()> m_onTrunkLost = [] {};

    // State of the direction to the other end.
    kj::Maybe<schema::StreamEnd::Client> m_remote;
    bool m_attached = false;
    std::uint64_t m_attachment = 0; // number of attachments, to ignore late failures of a previous trunk
    std::deque<Segment> m_unacknowledged;
    std::uint64_t m_acknowledgedBytes = 0;
    std::uint64_t m_read = 0; // bytes read from the local stream
    std::size_t m_nextReadBytes = idleReadBytes; // size of the next read
    std::uint64_t m_nextOffset = 0; // of the next byte to send
    bool m_readEnd = false;
    bool m_endWhenLocalEnds = false;
    bool m_lastSent = false;
    bool m_lastAcknowledged = false;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_windowOpened;

    // State of the direction from the other end.
    std::uint64_t m_received = 0;
    bool m_lastReceived = false;
    bool m_lastWritten = false;
    int m_referencedEnds = 0; // capabilities that the other end may still hold
    kj::ForkedPromise<void> m_writes;
    bool m_finished = false;
    kj::Promise<void> m_reading;
    kj::Promise<void> m_closing = nullptr;
};

} // namespace yuccahook::net
