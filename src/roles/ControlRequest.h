#pragma once

#include "net/Address.h"
#include "net/HttpMessage.h"

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace yuccahook::roles {

/// A response of a control instance with its parsed body.
struct ControlResponse {
    int status = 0;
    nlohmann::json body;
};

/// Reads the addresses of the option --control, or prints why it can't.
std::optional<std::vector<net::Address>> parseControl(const std::string& text, std::ostream& err);

/// Sends a request to one control instance. Empty without a response.
std::optional<ControlResponse> sendOnce(const net::Address& address, const net::HttpRequest& request);

/// Sends a request that is safe to repeat to the instances in turn, until one of them neither stays silent nor answers
/// that it can't serve the request now.
std::optional<ControlResponse> sendToAny(const std::vector<net::Address>& addresses, const net::HttpRequest& request);

} // namespace yuccahook::roles
