#pragma once

#include <string>

namespace yuccahook::net {

/// A request to an operator's HTTP address.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string query; ///< Without the question mark.
    std::string body;
};

/// An answer of an operator's HTTP address.
struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

} // namespace yuccahook::net
