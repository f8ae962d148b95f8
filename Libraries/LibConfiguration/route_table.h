#pragma once

#include <LibConfiguration/call_policy.h>
#include <LibCore/result.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// A service that a route forwards calls to. Its share of the calls is its weight divided by the sum of the weights.
struct weighted_service {
    std::string service;
    std::uint32_t weight { 1 };

    bool operator==(weighted_service const&) const = default;
};

// Forwards requests for a host whose path begins with the prefix to services.
struct route {
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<weighted_service> services;
    call_policy policy;

    bool operator==(route const&) const = default;
};

// A service without a questionnaire that routes may forward to. The platform places its copies, which run beside the
// daemons.
struct placed_service {
    std::string name;
    // Connections that one copy accepts, summed over all callers.
    std::uint32_t maximumConnections { 0 };

    bool operator==(placed_service const&) const = default;
};

// Limits on the size and duration of clients' requests to a daemon.
struct client_limits {
    std::size_t maximumHeaderBytes { 16 * 1024 };
    std::size_t maximumBodyBytes { 1024 * 1024 };
    milliseconds headerTimeout { 10000 };
    milliseconds idleTimeout { 120000 };

    bool operator==(client_limits const&) const = default;
};

// Maps requests to routes by host and path prefix. Immutable.
class route_table {
public:
    route_table() = default;
    // BadInput if two routes have the same host and prefix, or a prefix does not begin and end with a slash.
    static result<route_table> tryCreate(std::vector<route>);

    // Returns the route of the host with the longest matching prefix, or null. The host's port and the path's query are
    // ignored.
    route const* match(std::string_view host, std::string_view path) const;
    std::vector<route> const& routes() const { return m_routes; }
    bool isEmpty() const { return m_routes.empty(); }

private:
    std::vector<route> m_routes;
    // Indexes into m_routes by host and prefix. Transparent comparison avoids copies in lookups.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> m_indexesByHost;
};

// Settings that apply to all routes: the services placed by the platform, and the limits for clients.
struct mesh_settings {
    std::vector<placed_service> services;
    client_limits limits;

    bool operator==(mesh_settings const&) const = default;
};
// Serializes the content of the settings fragment as canonical JSON, so that equal values have equal digests.
std::string serializeMeshSettings(mesh_settings const&);
// BadInput names the key that is missing, unknown or out of bounds.
result<mesh_settings> parseMeshSettings(std::string_view content);

// The name of the settings fragment. Service names contain no slash, so the two cannot collide.
inline constexpr std::string_view meshSettingsFragment = "mesh/settings";

} // namespace merlinpier
