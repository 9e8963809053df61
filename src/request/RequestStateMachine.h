#pragma once

#include "request/RequestState.h"

namespace yuccahook::request {

/// The state machine of one request. The outcome is "not run" only before dispatch; a dispatched request that is not
/// answered may have run, so its outcome is unknown whatever ends it.
class RequestStateMachine {
public:
    RequestState state() const { return m_state; }
    RequestReason reason() const { return m_reason; }
    bool ended() const;

    /// The outcome to report to the caller if the request ended now.
    Outcome outcome() const;

    /// Each event returns whether the current state allows it; if not, nothing changes.
    bool queue();
    bool dispatch();
    bool answer();

    /// The request is answered with the recorded answer of an earlier submission, without a dispatch.
    bool repeat();

    /// Ends a request without an answer: refused before dispatch, unknown after it.
    bool fail(RequestReason reason);

    /// Ends a request as unknown because an earlier submission of the same key may have run.
    bool failUnknown(RequestReason reason);

    /// The caller has disconnected.
    bool cancel();

private:
    bool end(RequestState state, RequestReason reason);

    RequestState m_state = RequestState::Received;
    RequestReason m_reason = RequestReason::None;
    bool m_dispatched = false;
    bool m_repeated = false;
};

} // namespace yuccahook::request
