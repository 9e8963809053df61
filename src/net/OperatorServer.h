#pragma once

#include "kernel/Service.h"
#include "net/Address.h"
#include "net/HttpMessage.h"
#include "observe/Counters.h"

#include <atomic>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

struct mg_connection;
struct mg_context;

namespace yuccahook::net {

/// Serves operators and the backend server over HTTP: /health, /metrics, /status and the routes that other kernel
/// services add. Handlers run on threads of the HTTP library, concurrently.
class OperatorServer final : public kernel::Service {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;
    using StatusProvider = std::function<nlohmann::json()>;

    static constexpr std::string_view serviceName = "operator";

    /// Listens on each of the addresses that is set.
    OperatorServer(std::vector<Address> addresses, observe::Counters& counters);
    ~OperatorServer() override;

    std::string_view name() const override { return serviceName; }
    bool start() override;
    void drain() override { m_draining = true; }
    void stop() override;

    /// Adds a route for paths that begin with `path`; the longest matching route handles a request. Call before
    /// `start`.
    void addRoute(std::string path, Handler handler);

    /// Adds a key to the JSON object at /status. Call before `start`.
    void addStatus(std::string key, StatusProvider provider);

    /// Sets whether /health responds with 200 "ready" or 503 "live"; from any thread.
    void setReady(bool ready) { m_ready = ready; }

    /// Responds with 200 while this process accepts new work, else with 503.
    HttpResponse health() const;

private:
    static int handleRequest(mg_connection* connection, void* self);
    HttpResponse dispatch(const HttpRequest& request) const;
    HttpResponse status() const;

    const std::vector<Address> m_addresses;
    observe::Counters& m_counters;
    std::map<std::string, Handler, std::less<>> m_routes;
    std::map<std::string, StatusProvider> m_statusProviders;
    mg_context* m_context = nullptr;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_draining = false;
};

} // namespace yuccahook::net
