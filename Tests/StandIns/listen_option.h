#pragma once

#include <LibHttp/http_server.h>
#include <absl/strings/numbers.h>
#include <string>

namespace merlinpier {

// Reads the --listen option of a stand-in, "IP:PORT".
inline result<http_server_settings> parseListenOption(std::string const& text)
{
    auto const colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535)
        return error { error_kind::BadInput, "\"" + text + "\" is no address", "give IP:PORT, such as 127.0.0.1:9000" };
    http_server_settings settings;
    settings.address = text.substr(0, colon);
    settings.port = static_cast<std::uint16_t>(port);
    return settings;
}

} // namespace merlinpier
