#pragma once

#include <string>

namespace yuccahook::net {

/// An HTTP request to an operator address.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string query; ///< Without the question mark.
    std::string body;
    std::string encodedPath {}; ///< The path as it was sent, percent-encoded; empty if it was not received.
};

/// An HTTP response of an operator address.
struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::string location {}; ///< The address that a redirection names; empty for none.
};

} // namespace yuccahook::net
