#include "control/EvacuationOrder.h"

#include "net/PercentEncoding.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace yuccahook::control {

namespace {

constexpr int httpInvalid = 400;
constexpr int httpUnknownPath = 404;
constexpr int httpMethodNotAllowed = 405;
constexpr int httpUnavailable = 503;

net::HttpResponse respond(int status, const nlohmann::json& body)
{
    // Names may have bytes that are not UTF-8.
    return { status, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

} // namespace

EvacuationRequest parseEvacuationRequest(const net::HttpRequest& request, std::string_view prefix)
{
    // The decoded path has lost the difference between a slash of the path and one of the name.
    std::string_view path = request.encodedPath.empty() ? request.path : request.encodedPath;
    const bool isBelow = path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
    if (!isBelow)
        return { std::nullopt, EvacuationFault::UnknownPath };
    if (request.method != "POST" && request.method != "DELETE")
        return { std::nullopt, EvacuationFault::MethodNotAllowed };
    path.remove_prefix(std::min(prefix.size() + 1, path.size()));
    const auto domain = net::percentDecoded(path);
    // Names are stored as texts that end at a zero byte.
    if (!domain || domain->find('\0') != std::string::npos)
        return { std::nullopt, EvacuationFault::BadName };
    if (domain->empty())
        return { std::nullopt, EvacuationFault::NoName };
    if (domain->size() > maximumDomainBytes)
        return { std::nullopt, EvacuationFault::NameTooLong };
    return { SetEvacuation { *domain, request.method == "POST" }, EvacuationFault::None };
}

net::HttpResponse answerEvacuationRequest(const net::HttpRequest& request, std::string_view prefix,
    const std::function<ProposeStatus(const SetEvacuation&)>& propose)
{
    const auto [order, fault] = parseEvacuationRequest(request, prefix);
    if (!order) {
        int status = httpInvalid;
        if (fault == EvacuationFault::UnknownPath)
            status = httpUnknownPath;
        if (fault == EvacuationFault::MethodNotAllowed)
            status = httpMethodNotAllowed;
        return respond(status,
            { { "error", kernel::nameOf(fault) }, { "allowed", "POST or DELETE with a name of 1 to 128 bytes" } });
    }
    const auto status = propose(*order);
    if (status != ProposeStatus::Committed)
        return respond(httpUnavailable, { { "error", kernel::nameOf(status) } });
    return respond(200, { { "domain", order->domain }, { "evacuated", order->active } });
}

std::vector<std::string> addedDomains(const std::vector<std::string>& earlier, const std::vector<std::string>& later)
{
    std::vector<std::string> added;
    std::set_difference(later.begin(), later.end(), earlier.begin(), earlier.end(), std::back_inserter(added));
    return added;
}

} // namespace yuccahook::control
