#pragma once

#include "control/Command.h"
#include "control/CommandLog.h"
#include "kernel/EnumNames.h"
#include "net/HttpMessage.h"

#include <functional>
#include <optional>
#include <string_view>

namespace yuccahook::control {

/// Why a request is not an order to start or end an evacuation.
enum class EvacuationFault { None, UnknownPath, NoName, NameTooLong, BadName, MethodNotAllowed };

/// An order, or the reason why the request is none.
struct EvacuationRequest {
    std::optional<SetEvacuation> order;
    EvacuationFault fault = EvacuationFault::None;
};

/// Longest name of a failure domain in an order, in bytes; the limit of the operators' interface.
constexpr std::size_t maximumDomainBytes = 128;

/// Reads `POST PREFIX/DOMAIN` and `DELETE PREFIX/DOMAIN`, where the name is percent-encoded.
EvacuationRequest parseEvacuationRequest(const net::HttpRequest& request, std::string_view prefix);

/// Answers such a request: with 200 once `propose` has committed the order, with 503 if it has not, so that the
/// operator repeats it, and with 400, 404 or 405 if it is no order.
net::HttpResponse answerEvacuationRequest(const net::HttpRequest& request, std::string_view prefix,
    const std::function<ProposeStatus(const SetEvacuation&)>& propose);

/// The names that are in `later` only; both are sorted.
std::vector<std::string> addedDomains(const std::vector<std::string>& earlier, const std::vector<std::string>& later);

} // namespace yuccahook::control

template <> struct yuccahook::kernel::EnumNames<yuccahook::control::EvacuationFault> {
    static constexpr std::array<std::string_view, 6> names { "none", "unknown-path", "no-name", "name-too-long",
        "bad-name", "method-not-allowed" };
};
