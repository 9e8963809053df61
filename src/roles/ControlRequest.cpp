#include "roles/ControlRequest.h"

#include "net/HttpClient.h"

#include <ostream>
#include <sstream>
#include <thread>

namespace yuccahook::roles {

namespace {

using nlohmann::json;

constexpr auto responseTimeout = std::chrono::seconds(12);
constexpr auto retryDelay = std::chrono::milliseconds(300);
constexpr int attemptsPerInstance = 5;
constexpr int maximumRedirects = 2;
constexpr int httpRedirect = 307;
constexpr int httpUnavailable = 503;
constexpr int httpTimeout = 504;

// The address of a location such as "http://10.0.0.1:80/notes". The path there is that of the request.
std::optional<net::Address> addressOfLocation(std::string_view location)
{
    constexpr std::string_view scheme = "http://";
    if (!location.starts_with(scheme))
        return std::nullopt;
    location.remove_prefix(scheme.size());
    return net::Address::parse(location.substr(0, location.find('/')));
}

} // namespace

std::optional<std::vector<net::Address>> parseControl(const std::string& text, std::ostream& err)
{
    std::vector<net::Address> addresses;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto address = net::Address::parse(part);
        if (!address) {
            err << "--control: seen \"" << part << "\", expected IP:PORT,IP:PORT,...\n";
            return std::nullopt;
        }
        addresses.push_back(*address);
    }
    if (!addresses.empty())
        return addresses;
    err << "--control: no address given, expected IP:PORT,IP:PORT,...\n";
    return std::nullopt;
}

std::optional<ControlResponse> sendOnce(const net::Address& address, const net::HttpRequest& request)
{
    auto response = net::sendHttpRequest(address, request, responseTimeout);
    for (int step = 0; response && response->status == httpRedirect && step < maximumRedirects; ++step) {
        const auto target = addressOfLocation(response->location);
        response = target ? net::sendHttpRequest(*target, request, responseTimeout) : std::nullopt;
    }
    if (!response)
        return std::nullopt;
    return ControlResponse { response->status, json::parse(response->body, nullptr, false) };
}

std::optional<ControlResponse> sendToAny(const std::vector<net::Address>& addresses, const net::HttpRequest& request)
{
    const int attempts = attemptsPerInstance * static_cast<int>(addresses.size());
    for (int attempt = 0; attempt < attempts; ++attempt) {
        auto response = sendOnce(addresses[attempt % addresses.size()], request);
        if (response && response->status != httpUnavailable && response->status != httpTimeout)
            return response;
        std::this_thread::sleep_for(retryDelay);
    }
    return std::nullopt;
}

} // namespace yuccahook::roles
