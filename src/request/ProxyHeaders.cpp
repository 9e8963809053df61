#include "request/ProxyHeaders.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

namespace yuccahook::request {

namespace {

constexpr std::array<std::string_view, 9> hopByHop { "connection", "keep-alive", "proxy-connection",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade" };
constexpr std::string_view contentLength = "content-length"; // set from the size of the forwarded body
constexpr std::string_view ownPrefix = "yuccahook-";

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

// Adds the tokens of a comma-separated header value to `tokens`.
void addTokens(const std::string& value, std::set<std::string>& tokens)
{
    std::string token;
    for (const char letter : value + ',') {
        if (letter == ',')
            tokens.insert(std::exchange(token, ""));
        else if (letter != ' ' && letter != '\t')
            token += letter;
    }
}

} // namespace

HeaderList endToEndHeaders(const kj::HttpHeaders& headers)
{
    std::set<std::string> dropped(hopByHop.begin(), hopByHop.end());
    dropped.emplace(contentLength);
    KJ_IF_MAYBE (connection, headers.get(kj::HttpHeaderId::CONNECTION))
        addTokens(lowerCase(connection->cStr()), dropped);
    HeaderList list;
    headers.forEach([&](kj::StringPtr name, kj::StringPtr value) {
        const std::string lower = lowerCase(name.cStr());
        if (!dropped.contains(lower) && !lower.starts_with(ownPrefix))
            list.emplace_back(name.cStr(), value.cStr());
    });
    return list;
}

void addHeaders(kj::HttpHeaders& headers, const HeaderList& list)
{
    for (const auto& [name, value] : list)
        headers.add(kj::str(name.c_str()), kj::str(value.c_str()));
}

} // namespace yuccahook::request
