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

/// Serves operators and the backend server over HTTP: /health, /metrics, /status and what other services add.
/// Handlers run on threads of the HTTP library.
class OperatorServer final : public kernel::Service {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;
    using Status = std::function<nlohmann::json()>;

    static constexpr std::string_view serviceName = "operator";

    /// Serves on each address that is set.
    OperatorServer(std::vector<Address> addresses, observe::Counters& counters);
    ~OperatorServer() override;

    std::string_view name() const override { return serviceName; }
    bool start() override;
    void drain() override { m_draining = true; }
    void stop() override;

    /// Adds a route; a request whose path begins with `path` goes to the longest match. Call before `start`.
    void addRoute(std::string path, Handler handler);

    /// Adds a member of the /status object. Call before `start`.
    void addStatus(std::string key, Status status);

    /// Whether /health answers "ready"; until then "live".
    void setReady(bool ready) { m_ready = ready; }

    /// 200 while this process takes new work.
    HttpResponse health() const;

private:
    static int handle(mg_connection* connection, void* self);
    HttpResponse answer(const HttpRequest& request) const;
    HttpResponse status() const;

    const std::vector<Address> m_addresses;
    observe::Counters& m_counters;
    std::map<std::string, Handler, std::less<>> m_routes;
    std::map<std::string, Status> m_status;
    mg_context* m_context = nullptr;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_draining = false;
};

} // namespace yuccahook::net
