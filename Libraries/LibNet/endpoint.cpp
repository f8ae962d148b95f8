#include <LibNet/endpoint.h>

#include <arpa/inet.h>
#include <charconv>

namespace merlinpier {

namespace {

error badEndpoint(std::string_view text)
{
    return { error_kind::BadInput, "\"" + std::string(text) + "\" is no address with a port",
        "write an IPv4 number and a port, such as 10.0.0.1:7000; names are not looked up" };
}

bool isAddress(std::string const& text)
{
    in_addr number {};
    return inet_pton(AF_INET, text.c_str(), &number) == 1;
}

} // namespace

result<endpoint> parseEndpoint(std::string_view text)
{
    auto const colon = text.find(':');
    if (colon == std::string_view::npos)
        return badEndpoint(text);
    endpoint parsed { std::string(text.substr(0, colon)), 0 };
    auto const port = text.substr(colon + 1);
    auto const [end, failure] = std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    bool const isPort = !port.empty() && failure == std::errc() && end == port.data() + port.size();
    if (!isPort || !isAddress(parsed.address))
        return badEndpoint(text);
    return parsed;
}

} // namespace merlinpier
