#pragma once

#include <LibCore/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace merlinpier {

// An IPv4 number and a TCP port. Names are never looked up.
struct endpoint {
    std::string address;
    std::uint16_t port { 0 };

    bool operator==(endpoint const&) const = default;

    std::string text() const { return address + ":" + std::to_string(port); }
};

// Reads "10.0.0.1:7000"; BadInput for anything else.
result<endpoint> parseEndpoint(std::string_view);

} // namespace merlinpier
