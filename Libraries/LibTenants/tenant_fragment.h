#pragma once

#include <LibCore/result.h>
#include <LibTenants/tenant_directory.h>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Serializes the content of the tenants fragment. Equal salts and entries in the same order give equal bytes and
// therefore equal digests.
std::string serializeTenants(std::string const& salt, std::vector<tenant_entry> const&);
// Parses the content of a tenants fragment. Corrupt if it is truncated, malformed or followed by extra bytes; BadInput
// if the tenants contradict each other.
result<tenant_directory> parseTenants(std::string_view content);

// The name of the tenants fragment. Service names contain no slash, so the two cannot collide.
inline constexpr std::string_view tenantsFragment = "mesh/tenants";

} // namespace merlinpier
