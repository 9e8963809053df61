#include "request/OutcomeResponse.h"

#include <array>
#include <nlohmann/json.hpp>

namespace yuccahook::request {

namespace {

constexpr HttpStatus badRequest { 400, "Bad Request" };
constexpr HttpStatus conflict { 409, "Conflict" };
constexpr HttpStatus tooLarge { 413, "Payload Too Large" };
constexpr HttpStatus unprocessable { 422, "Unprocessable Entity" };
constexpr HttpStatus required { 428, "Precondition Required" };
constexpr HttpStatus badGateway { 502, "Bad Gateway" };
constexpr HttpStatus unavailable { 503, "Service Unavailable" };
constexpr HttpStatus timedOut { 504, "Gateway Timeout" };

struct Row {
    RequestReason reason;
    HttpStatus status;
};

// All other reasons are temporary refusals.
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

HttpStatus statusOf(RequestReason reason)
{
    for (const auto& row : rows) {
        if (row.reason == reason)
            return row.status;
    }
    return unavailable;
}

std::string outcomeBody(Outcome outcome, RequestReason reason)
{
    return nlohmann::json { { "outcome", kernel::nameOf(outcome) }, { "reason", kernel::nameOf(reason) } }.dump()
        + '\n';
}

} // namespace yuccahook::request
