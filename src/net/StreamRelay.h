#pragma once

#include "flow/RefusalReason.h"
#include "trunk.capnp.h"

#include <cstdint>
#include <deque>
#include <kj/async-io.h>
#include <kj/refcount.h>
#include <vector>

namespace yuccahook::net {

/// Carries a local byte stream to the other end of a trunk and back, as offset-numbered segments with
/// acknowledgement. The trunk may be lost and replaced: what is not acknowledged is sent again, what arrives twice is
/// passed on once. At most `windowBytes` are held for each direction.
class StreamRelay final : public kj::Refcounted {
public:
    static constexpr std::uint64_t windowBytes = 256 << 10;
    static constexpr std::size_t segmentBytes = 32 << 10;

    /// What an idle stream keeps ready to read into; it grows to `segmentBytes` while reads fill it.
    static constexpr std::size_t idleReadBytes = 1 << 10;

    explicit StreamRelay(kj::Own<kj::AsyncIoStream> local);
    ~StreamRelay() noexcept(false) override;

    /// What the other end sends its segments to.
    schema::StreamEnd::Client streamEnd();

    /// Begins or resumes sending to the other end, which has received that many bytes.
    void attach(schema::StreamEnd::Client remote, std::uint64_t remoteReceived);

    /// Stops sending until the next `attach`.
    void detach();
    bool attached() const { return m_attached; }

    /// Asks the other end for a sign of life; the trunk counts as lost when there is none within the timeout.
    void probe(kj::Timer& timer, kj::Duration timeout);

    /// Bytes carried either way so far; a stream for which this stands still is idle.
    std::uint64_t carried() const { return m_read + m_received; }

    /// Bytes taken from the other end so far.
    std::uint64_t received() const { return m_received; }

    /// Ends both directions at once and tells the other end when attached.
    void reset(flow::RefusalReason reason);

    /// Ends the stream both ways once the local side has ended and the other end has all of it, as suits protocols
    /// whose server closes last.
    void endWithLocal() { m_endWithLocal = true; }

    /// Ends when both directions have been carried to their ends, or at a reset.
    kj::Promise<void> whenDone() { return m_done.addBranch(); }

    /// Calls back each time the trunk is found lost.
    void onDetached(kj::Function<void()> callback) { m_onDetached = kj::mv(callback); }

    bool finished() const { return m_finished; }

private:
    class End;
    friend class End;

    struct Segment {
        std::uint64_t offset;
        std::vector<kj::byte> bytes;
    };

    kj::Promise<void> readLocal();
    void sendPending();
    void send(const Segment& segment, bool last);
    void acknowledged(std::uint64_t received, std::uint64_t attachment);
    kj::Promise<void> take(std::uint64_t offset, kj::ArrayPtr<const kj::byte> bytes, bool last);
    void checkDone();
    void finish();
    void close();
    void endDropped();
    void trunkLost(std::uint64_t attachment);

    /// Shared with writes in progress, which may end after the relay has.
    struct Local : kj::Refcounted {
        kj::Own<kj::AsyncIoStream> stream;
    };

    kj::Own<Local> m_local;
    kj::ForkedPromise<void> m_done;
    kj::Own<kj::PromiseFulfiller<void>> m_doneFulfiller;
    kj::Function<void()> m_onDetached = [] {};

    // Towards the other end.
    kj::Maybe<schema::StreamEnd::Client> m_remote;
    bool m_attached = false;
    std::uint64_t m_attachment = 0; // counts attachments, so that late failures of an old trunk are known
    std::deque<Segment> m_unacknowledged;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_read = 0; // bytes read from the local stream
    std::size_t m_readBytes = idleReadBytes; // size of the next read
    std::uint64_t m_nextToSend = 0; // offset
    bool m_readEnd = false;
    bool m_endWithLocal = false;
    bool m_lastSent = false;
    bool m_lastAcknowledged = false;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_windowOpen;

    // From the other end.
    std::uint64_t m_received = 0;
    bool m_lastReceived = false;
    bool m_lastWritten = false;
    int m_ends = 0; // capabilities that the other end may hold
    kj::ForkedPromise<void> m_writes;
    bool m_finished = false;
    kj::Promise<void> m_reading;
    kj::Promise<void> m_closing = nullptr;
};

} // namespace yuccahook::net
