#pragma once

#include <LibCore/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace merlinpier {

// Identifies requests that do the same: those with the same path and query, calling service and body. The service that
// is called is left out, since a route may lead the same request to another one.
std::uint64_t requestFingerprint(std::string_view caller, std::string_view path, std::string_view body);

// The fingerprint as it appears in logs and commands: 16 hexadecimal digits.
std::string fingerprintText(std::uint64_t fingerprint);
// BadInput if the text is not of that form.
result<std::uint64_t> parseFingerprint(std::string_view text);

} // namespace merlinpier
