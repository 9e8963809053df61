#include "request/RequestVerdict.h"

#include <array>
#include <nlohmann/json.hpp>

namespace yuccahook::request {

namespace {

constexpr ReasonStatus badRequest { 400, "Bad Request" };
constexpr ReasonStatus conflict { 409, "Conflict" };
constexpr ReasonStatus tooLarge { 413, "Payload Too Large" };
constexpr ReasonStatus unprocessable { 422, "Unprocessable Entity" };
constexpr ReasonStatus required { 428, "Precondition Required" };
constexpr ReasonStatus badGateway { 502, "Bad Gateway" };
constexpr ReasonStatus unavailable { 503, "Service Unavailable" };
constexpr ReasonStatus timedOut { 504, "Gateway Timeout" };

struct Row {
    RequestReason reason;
    ReasonStatus status;
};

// Every other reason is a refusal for the time being.
constexpr std::array rows {
    Row { RequestReason::Malformed, badRequest },
    Row { RequestReason::KeyMalformed, badRequest },
    Row { RequestReason::BodyTooLarge, tooLarge },
    Row { RequestReason::KeyRequired, required },
    Row { RequestReason::KeyReused, unprocessable },
    Row { RequestReason::StillRunning, conflict },
    Row { RequestReason::EarlierRunUnknown, conflict },
    Row { RequestReason::BackendLost, badGateway },
    Row { RequestReason::AnswerTruncated, badGateway },
    Row { RequestReason::AnswerTooLarge, badGateway },
    Row { RequestReason::DeadlinePassed, timedOut },
};

} // namespace

ReasonStatus statusOf(RequestReason reason)
{
    for (const auto& row : rows) {
        if (row.reason == reason)
            return row.status;
    }
    return unavailable;
}

std::string verdictBody(Outcome outcome, RequestReason reason)
{
    return nlohmann::json { { "outcome", kernel::nameOf(outcome) }, { "reason", kernel::nameOf(reason) } }.dump()
        + '\n';
}

} // namespace yuccahook::request
