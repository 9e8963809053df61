#include "roles/PlaceCommand.h"

#include "net/HttpClient.h"
#include "roles/ExitCode.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>

namespace yuccahook::roles {

namespace {

constexpr std::chrono::milliseconds responseTimeout { 5000 };
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// The value of a key in a query without escapes; empty if it is missing.
std::string valueIn(const std::string& query, const std::string& key)
{
    for (std::size_t begin = 0; begin < query.size();) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        if (query.compare(begin, key.size() + 1, key + '=') == 0)
            return query.substr(begin + key.size() + 1, end - begin - key.size() - 1);
        begin = end + 1;
    }
    return {};
}

std::optional<flow::PacketEndpoint> endpointOf(const std::string& text)
{
    const auto address = net::Address::parse(text);
    if (!address || flow::PacketEndpoint::of(*address).address() != *address)
        return std::nullopt;
    return flow::PacketEndpoint::of(*address);
}

net::HttpResponse errorOf(int status, std::string_view error)
{
    return { status, "application/json", nlohmann::json { { "error", error } }.dump() };
}

nlohmann::json jsonOf(const flow::ExplainedCandidate& candidate)
{
    nlohmann::json body { { "member", candidate.member }, { "agent", candidate.agent }, { "domain", candidate.domain },
        { "tier", kernel::nameOf(candidate.rank.tier) }, { "reason", kernel::nameOf(candidate.rank.reason) },
        { "load", candidate.rank.load }, { "accepts", candidate.load.accepts }, { "busy", candidate.load.busy },
        { "slots", candidate.load.slots }, { "serviceMillis", candidate.load.serviceMillis },
        { "outlier", candidate.isOutlier }, { "evacuated", candidate.isEvacuated }, { "first", candidate.isFirst },
        { "mayBeTried", candidate.mayBeTried } };
    if (candidate.reportAgeMillis)
        body["reportAgeMillis"] = *candidate.reportAgeMillis;
    return body;
}

nlohmann::json jsonOf(const flow::PlacementExplanation& explanation)
{
    nlohmann::json body { { "revision", explanation.revision }, { "routeVersion", explanation.routeVersion },
        { "route", explanation.route }, { "homes", explanation.homes }, { "services", nlohmann::json::array() } };
    for (const auto& service : explanation.services) {
        auto candidates = nlohmann::json::array();
        for (const auto& candidate : service.candidates)
            candidates.push_back(jsonOf(candidate));
        body["services"].push_back({ { "name", service.name }, { "weight", service.weight },
            { "chosen", service.isChosen }, { "candidates", std::move(candidates) } });
    }
    return body;
}

void print(const nlohmann::json& body, std::ostream& out)
{
    out << "route " << body["route"].get<std::string>() << ", route table " << body["routeVersion"] << ", revision "
        << body["revision"] << '\n';
    for (const auto& service : body["services"]) {
        out << "service " << service["name"].get<std::string>() << ", weight " << service["weight"]
            << (service["chosen"] ? "" : ", not chosen") << '\n';
        for (const auto& candidate : service["candidates"]) {
            out << (service["chosen"] && candidate["first"] ? "  * " : "    ") << candidate["agent"].get<std::string>()
                << " (" << candidate["domain"].get<std::string>() << ")  " << candidate["tier"].get<std::string>()
                << "  " << candidate["reason"].get<std::string>() << "  busy " << candidate["busy"] << " of "
                << candidate["slots"] << ", " << candidate["serviceMillis"] << " ms";
            if (candidate.contains("reportAgeMillis"))
                out << ", reported " << candidate["reportAgeMillis"] << " ms ago";
            out << (candidate["outlier"] ? ", outlier" : "") << (candidate["evacuated"] ? ", evacuated" : "") << '\n';
        }
    }
}

} // namespace

net::HttpResponse handlePlace(const net::HttpRequest& request, const ExplainPlacement& explain)
{
    const auto route = endpointOf(valueIn(request.query, "route"));
    const std::string callerText = valueIn(request.query, "caller");
    const auto caller = endpointOf(callerText);
    if (!route || (!callerText.empty() && !caller))
        return errorOf(statusBadRequest, "expected route=IP:PORT and, if given, caller=IP:PORT, both IPv4");
    const auto explanation = explain(*route, caller);
    if (!explanation)
        return errorOf(statusUnavailable, "no-result-in-time");
    if (!explanation->fault)
        return { 200, "application/json", jsonOf(*explanation).dump() };
    const bool isAbsent
        = explanation->fault == flow::PlacementFault::NoRoute || explanation->fault == flow::PlacementFault::NoService;
    return errorOf(isAbsent ? statusNotFound : statusUnavailable, kernel::nameOf(*explanation->fault));
}

int runPlace(const PlaceArguments& arguments, std::ostream& out, std::ostream& err)
{
    const auto target = net::Address::parse(arguments.address);
    if (!target || !endpointOf(arguments.route) || (!arguments.caller.empty() && !endpointOf(arguments.caller))) {
        err << "place: expected --route IP:PORT [--caller IP:PORT] --address IP:PORT\n";
        return code(ExitCode::Usage);
    }
    std::string query = "route=" + arguments.route;
    if (!arguments.caller.empty())
        query += "&caller=" + arguments.caller;
    const auto response = net::sendHttpRequest(*target, { "GET", "/place", query, "" }, responseTimeout);
    if (!response) {
        err << "no response from " << arguments.address << '\n';
        return code(ExitCode::Unreachable);
    }
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    if (response->status != 200 || !body.is_object() || !body.contains("services")) {
        const bool isExplained = body.is_object() && body.contains("error") && body["error"].is_string();
        err << (isExplained ? body["error"].get<std::string>()
                            : "not a balancer of packet services, or an earlier release")
            << '\n';
        return code(ExitCode::Refused);
    }
    if (arguments.json)
        out << body.dump(2) << '\n';
    else
        print(body, out);
    return code(ExitCode::Success);
}

} // namespace yuccahook::roles
