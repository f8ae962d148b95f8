#pragma once

#include <LibConfiguration/route_table.h>
#include <LibCore/result.h>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Serializes the content of a route fragment. Equal routes in the same order give equal bytes and therefore equal
// digests.
std::string serializeRoutes(std::vector<route> const&);
// Parses the content of a route fragment. Corrupt if it is truncated, malformed or followed by extra bytes.
result<std::vector<route>> parseRoutes(std::string_view content);

// Prefix of the names of route fragments. Service names contain no slash, so the two cannot collide.
inline constexpr std::string_view routesFragmentPrefix = "mesh/routes/";

} // namespace merlinpier
