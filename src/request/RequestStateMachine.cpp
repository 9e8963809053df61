#include "request/RequestStateMachine.h"

namespace yuccahook::request {

bool RequestStateMachine::ended() const { return m_state >= RequestState::Answered; }

Outcome RequestStateMachine::outcome() const
{
    if (m_repeated)
        return Outcome::Repeated;
    if (m_state == RequestState::Answered)
        return Outcome::Answered;
    return m_dispatched || m_state == RequestState::Unknown ? Outcome::Unknown : Outcome::NotRun;
}

bool RequestStateMachine::queue()
{
    if (m_state != RequestState::Received)
        return false;
    m_state = RequestState::Queued;
    return true;
}

bool RequestStateMachine::dispatch()
{
    if (m_state != RequestState::Received && m_state != RequestState::Queued)
        return false;
    m_state = RequestState::Dispatched;
    m_dispatched = true;
    return true;
}

bool RequestStateMachine::answer()
{
    return m_state == RequestState::Dispatched && end(RequestState::Answered, RequestReason::None);
}

bool RequestStateMachine::repeat()
{
    if (m_dispatched || ended())
        return false;
    m_repeated = true;
    return end(RequestState::Answered, RequestReason::None);
}

bool RequestStateMachine::fail(RequestReason reason)
{
    return end(m_dispatched ? RequestState::Unknown : RequestState::Refused, reason);
}

bool RequestStateMachine::failUnknown(RequestReason reason) { return end(RequestState::Unknown, reason); }

bool RequestStateMachine::cancel() { return end(RequestState::Cancelled, RequestReason::CallerGone); }

bool RequestStateMachine::end(RequestState state, RequestReason reason)
{
    if (ended())
        return false;
    m_state = state;
    m_reason = reason;
    return true;
}

} // namespace yuccahook::request
