#pragma once

#include <LibConfiguration/route_table.h>
#include <LibCore/result.h>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Writes the content of a fragment with routes. Equal routes in the same order give the same bytes, and so the same
// digest.
std::string serializeRoutes(std::vector<route> const&);
// Reads the content of a fragment with routes; Corrupt if it is none.
result<std::vector<route>> parseRoutes(std::string_view content);

// Names of fragments with routes begin with this. No service has a slash in its name.
inline constexpr std::string_view routesFragmentPrefix = "mesh/routes/";

} // namespace merlinpier
