#include <LibHttp/http_message.h>

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <cctype>

namespace merlinpier {

namespace {

constexpr std::array<std::string_view, 10> connectionHeaders { "connection", "content-length", "expect", "keep-alive",
    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "http2-settings" };

bool equalsIgnoringCase(std::string_view first, std::string_view second)
{
    return absl::EqualsIgnoreCase(
        absl::string_view(first.data(), first.size()), absl::string_view(second.data(), second.size()));
}

std::optional<std::string> firstHeader(std::vector<http_field> const& headers, std::string_view name)
{
    for (auto const& field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool isUnreserved(char character)
{
    auto const byte = static_cast<unsigned char>(character);
    return std::isalnum(byte) != 0 || character == '-' || character == '.' || character == '_' || character == '~';
}

int hexadecimalValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

std::optional<std::string> http_request::header(std::string_view name) const { return firstHeader(headers, name); }

std::optional<std::string> http_request::argument(std::string_view name) const
{
    for (auto const& field : query) {
        if (field.name == name)
            return field.value;
    }
    return std::nullopt;
}

std::string http_request::pathWithQuery() const
{
    std::string text = path;
    char separator = '?';
    for (auto const& field : query) {
        text += separator + percentEncode(field.name) + "=" + percentEncode(field.value);
        separator = '&';
    }
    return text;
}

std::optional<std::string> http_response::header(std::string_view name) const { return firstHeader(headers, name); }

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
        [name](std::string_view known) { return equalsIgnoringCase(known, name); });
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (char const character : text) {
        if (isUnreserved(character))
            encoded += character;
        else
            encoded += absl::StrFormat("%%%02X", static_cast<unsigned char>(character));
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        int const high = i + 2 < text.size() ? hexadecimalValue(text[i + 1]) : -1;
        int const low = i + 2 < text.size() ? hexadecimalValue(text[i + 2]) : -1;
        if (high < 0 || low < 0)
            return std::nullopt;
        decoded += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return decoded;
}

http_response jsonResponse(int status, std::string body)
{
    return http_response { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

} // namespace merlinpier
