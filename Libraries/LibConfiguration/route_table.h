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

// A service that a route leads to, with its share of the calls.
struct weighted_service {
    std::string service;
    std::uint32_t weight { 1 };

    bool operator==(weighted_service const&) const = default;
};

// Leads requests for a host whose path begins with the prefix to services.
struct route {
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<weighted_service> services;
    call_policy policy;

    bool operator==(route const&) const = default;
};

// A service that routes lead to and no questionnaire describes: its copies are those that the platform runs beside the
// daemons.
struct placed_service {
    std::string name;
    // Connections that one copy accepts from all callers together.
    std::uint32_t maximumConnections { 0 };

    bool operator==(placed_service const&) const = default;
};

// What clients may send to a daemon, and how long they may take.
struct client_limits {
    std::size_t maximumHeaderBytes { 16 * 1024 };
    std::size_t maximumBodyBytes { 1024 * 1024 };
    milliseconds headerTimeout { 10000 };
    milliseconds idleTimeout { 120000 };

    bool operator==(client_limits const&) const = default;
};

// Finds the route of a request. Immutable once built.
class route_table {
public:
    route_table() = default;
    // BadInput if two routes have the same host and prefix, or a prefix lacks its slashes.
    static result<route_table> tryCreate(std::vector<route>);

    // The route with the longest prefix among those of the host (any port apart), or nothing.
    route const* match(std::string_view host, std::string_view path) const;
    std::vector<route> const& routes() const { return m_routes; }
    bool isEmpty() const { return m_routes.empty(); }

private:
    std::vector<route> m_routes;
    // Indexes into m_routes by host and prefix, compared without copying.
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> m_byHost;
};

// What holds for all routes.
struct mesh_settings {
    std::vector<placed_service> services;
    client_limits limits;

    bool operator==(mesh_settings const&) const = default;
};
// The content of the fragment with services and limits: canonical JSON, so that equal values have equal digests.
std::string serializeMeshSettings(mesh_settings const&);
result<mesh_settings> parseMeshSettings(std::string_view content);

// The name of that fragment. No service has a slash in its name.
inline constexpr std::string_view meshSettingsFragment = "mesh/settings";

} // namespace merlinpier
