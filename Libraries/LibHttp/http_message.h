#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// One header or query argument.
struct http_field {
    std::string name;
    std::string value;

    bool operator==(http_field const&) const = default;
};

// A whole request. The path is as received, without the query.
struct http_request {
    std::string method;
    std::string path;
    // Decoded query arguments, in order.
    std::vector<http_field> query;
    std::vector<http_field> headers;
    std::string body;
    // Path and query as received, to be passed on unchanged; empty unless loop_http_server received the request.
    std::string target {};

    bool operator==(http_request const&) const = default;

    // Returns the first header of the name, in any case of letters.
    std::optional<std::string> header(std::string_view name) const;
    std::optional<std::string> argument(std::string_view name) const;
    // Returns path and query as the next receiver wants them, encoded again.
    std::string pathWithQuery() const;
};

// A whole answer.
struct http_response {
    int status { 200 };
    std::vector<http_field> headers;
    std::string body;

    bool operator==(http_response const&) const = default;

    std::optional<std::string> header(std::string_view name) const;
};

// Says whether a header concerns one connection alone (RFC 9110, section 7.6.1) or the length of the body. Server and
// client write these themselves and never pass them on.
bool isConnectionHeader(std::string_view name);

// Writes every byte other than an unreserved character (RFC 3986) as %XX.
std::string percentEncode(std::string_view);

// Undoes percentEncode; yields nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view);

// Builds an answer with a JSON body.
http_response jsonResponse(int status, std::string body);

} // namespace merlinpier
