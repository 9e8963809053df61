#include "net/PercentEncoding.h"

#include <charconv>

namespace yuccahook::net {

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (unreserved.find(character) != std::string_view::npos)
            encoded += character;
        else
            encoded.append({ '%', digits[byte >> 4], digits[byte & 15] });
    }
    return encoded;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            decoded += text[index];
            continue;
        }
        const auto digits = text.substr(index + 1, 2);
        unsigned value = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size())
            return std::nullopt;
        decoded += static_cast<char>(value);
        index += 2;
    }
    return decoded;
}

} // namespace yuccahook::net
