#include "net/HttpClient.h"

#include <array>
#include <civetweb.h>
#include <memory>

namespace yuccahook::net {

namespace {

struct CloseConnection {
    void operator()(mg_connection* connection) const { mg_close_connection(connection); }
};

} // namespace

std::optional<HttpResponse> sendHttpRequest(
    const Address& address, const HttpRequest& request, std::chrono::milliseconds timeout)
{
    std::array<char, 256> error {};
    const std::unique_ptr<mg_connection, CloseConnection> connection(
        mg_connect_client(address.host().c_str(), address.port, 0, error.data(), error.size()));
    if (!connection)
        return std::nullopt;
    const std::string target = request.query.empty() ? request.path : request.path + "?" + request.query;
    mg_printf(connection.get(),
        "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
        request.method.c_str(), target.c_str(), address.text().c_str(), request.body.size());
    mg_write(connection.get(), request.body.data(), request.body.size());
    if (mg_get_response(connection.get(), error.data(), error.size(), static_cast<int>(timeout.count())) < 0)
        return std::nullopt;
    const mg_response_info* info = mg_get_response_info(connection.get());
    HttpResponse response { info->status_code, "", "" };
    for (int index = 0; index < info->num_headers; ++index) {
        if (std::string_view(info->http_headers[index].name) == "Location")
            response.location = info->http_headers[index].value;
    }
    std::array<char, 8192> chunk {};
    for (int count = 0; (count = mg_read(connection.get(), chunk.data(), chunk.size())) > 0;)
        response.body.append(chunk.data(), count);
    if (info->content_length >= 0 && response.body.size() != static_cast<std::size_t>(info->content_length))
        return std::nullopt;
    return response;
}

} // namespace yuccahook::net
