#pragma once

#include "request/RequestState.h"

namespace yuccahook::request {

/// The states of one request. It says "not run" only while dispatch has not begun; from then on a request that was
/// not answered may have run, and whatever ends it, the outcome is unknown.
class RequestMachine {
public:
    RequestState state() const { return m_state; }
    RequestReason reason() const { return m_reason; }
    bool ended() const;

    /// What the caller may be told at this moment.
    Outcome outcome() const;

    /// Each returns whether the event was possible in this state; if not, nothing has changed.
    bool queue();
    bool dispatch();
    bool answer();

    /// The recorded answer of an earlier sending is given; nothing was dispatched.
    bool repeat();

    /// Ends a request that gets no answer: as refused before dispatch, as unknown after it.
    bool fail(RequestReason reason);

    /// An earlier sending of the same key may have run, so this one ends as unknown without being dispatched.
    bool failUnknown(RequestReason reason);

    /// The caller has gone.
    bool cancel();

private:
    bool end(RequestState state, RequestReason reason);

    RequestState m_state = RequestState::Received;
    RequestReason m_reason = RequestReason::None;
    bool m_dispatched = false;
    bool m_repeated = false;
};

} // namespace yuccahook::request
