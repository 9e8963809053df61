#include "net/OperatorServer.h"

#include "net/PercentEncoding.h"
#include "observe/Log.h"

#include <array>
#include <civetweb.h>
#include <nlohmann/json.hpp>

namespace yuccahook::net {

namespace {

constexpr std::size_t maximumBodyBytes = 4 << 20;
constexpr const char* serverThreadCount = "12"; // for eight concurrent operator requests and the health checks

bool readBody(mg_connection* connection, std::string& body)
{
    std::array<char, 8192> chunk {};
    for (;;) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0)
            return count == 0;
        if (body.size() + count > maximumBodyBytes)
            return false;
        body.append(chunk.data(), count);
    }
}

void send(mg_connection* connection, const HttpResponse& response)
{
    const std::string location = response.location.empty() ? "" : "Location: " + response.location + "\r\n";
    mg_printf(connection, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%sContent-Length: %zu\r\nConnection: close\r\n\r\n",
        response.status, mg_get_response_code_text(connection, response.status), response.contentType.c_str(),
        location.c_str(), response.body.size());
    mg_write(connection, response.body.data(), response.body.size());
}

} // namespace

OperatorServer::OperatorServer(std::vector<Address> addresses, observe::Counters& counters)
    : m_addresses(std::move(addresses))
    , m_counters(counters)
{
    addRoute("/health", [this](const HttpRequest&) { return health(); });
    addRoute("/status", [this](const HttpRequest&) { return status(); });
    addRoute("/metrics", [this](const HttpRequest&) {
        return HttpResponse { 200, "text/plain; version=0.0.4", m_counters.prometheusText() };
    });
}

OperatorServer::~OperatorServer() { stop(); }

void OperatorServer::addRoute(std::string path, Handler handler)
{
    m_routes.insert_or_assign(std::move(path), std::move(handler));
}

void OperatorServer::addStatus(std::string key, StatusProvider provider)
{
    m_statusProviders.insert_or_assign(std::move(key), std::move(provider));
}

bool OperatorServer::start()
{
    mg_init_library(0);
    std::string listeningPorts;
    for (const auto& address : m_addresses) {
        if (address.isSet())
            listeningPorts.append(listeningPorts.empty() ? "" : ",").append(address.text());
    }
    // Paths are decoded here, because the library's own decoding ends names at an encoded zero byte.
    const std::array<const char*, 9> options { "listening_ports", listeningPorts.c_str(), "num_threads",
        serverThreadCount, "request_timeout_ms", "15000", "decode_url", "no", nullptr };
    const mg_callbacks callbacks {};
    m_context = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
    if (!m_context) {
        observe::log(observe::Level::Error, "operator-address-unavailable", { { "address", listeningPorts } });
        return false;
    }
    mg_set_request_handler(m_context, "/", &OperatorServer::handleRequest, this);
    return true;
}

void OperatorServer::stop()
{
    if (!m_context)
        return;
    mg_stop(m_context);
    m_context = nullptr;
    mg_exit_library();
}

int OperatorServer::handleRequest(mg_connection* connection, void* self)
{
    const mg_request_info* info = mg_get_request_info(connection);
    HttpRequest request { info->request_method, info->local_uri, info->query_string ? info->query_string : "", {},
        info->local_uri_raw ? info->local_uri_raw : info->local_uri };
    if (auto decoded = percentDecoded(request.path))
        request.path = std::move(*decoded);
    HttpResponse response;
    if (readBody(connection, request.body))
        response = static_cast<OperatorServer*>(self)->dispatch(request);
    else
        response = { 413, "application/json", R"({"error":"body-too-large"})" };
    send(connection, response);
    return response.status;
}

HttpResponse OperatorServer::dispatch(const HttpRequest& request) const
{
    const Handler* longest = nullptr;
    std::size_t longestLength = 0;
    for (const auto& [path, handler] : m_routes) {
        if (request.path.starts_with(path) && path.size() > longestLength) {
            longest = &handler;
            longestLength = path.size();
        }
    }
    if (!longest)
        return { 404, "application/json", R"({"error":"unknown-path"})" };
    return (*longest)(request);
}

HttpResponse OperatorServer::health() const
{
    if (m_draining)
        return { 503, "application/json", R"({"health":"draining"})" };
    if (!m_ready)
        return { 503, "application/json", R"({"health":"live"})" };
    return { 200, "application/json", R"({"health":"ready"})" };
}

HttpResponse OperatorServer::status() const
{
    nlohmann::json body = nlohmann::json::object();
    for (const auto& [key, provider] : m_statusProviders)
        body[key] = provider();
    // Names of failure domains may not be UTF-8.
    return { 200, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
}

} // namespace yuccahook::net
