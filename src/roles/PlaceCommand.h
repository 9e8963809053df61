#pragma once

#include "flow/PlacementExplanation.h"
#include "net/HttpMessage.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace yuccahook::roles {

/// Explains the placement of a new flow from an optional caller to a route's address; nothing if there is no result in
/// time.
using ExplainPlacement = std::function<std::optional<flow::PlacementExplanation>(
    const flow::PacketEndpoint& route, const std::optional<flow::PacketEndpoint>& caller)>;

/// Handles GET /place?route=IP:PORT[&caller=IP:PORT] at a balancer. Responds with 200 and the explanation, 404 if there
/// is no such route or service, 503 if the balancer cannot know, or 400.
net::HttpResponse handlePlace(const net::HttpRequest& request, const ExplainPlacement& explain);

/// The options of a `yuccahook place` command line.
struct PlaceArguments {
    std::string route;
    std::string caller; ///< Empty: not given.
    std::string address; ///< Operator address of a balancer.
    bool json = false;
};

/// Asks a balancer where a new flow would go, and prints it. Returns the exit code (ExitCode).
int runPlace(const PlaceArguments& arguments, std::ostream& out, std::ostream& err);

} // namespace yuccahook::roles
