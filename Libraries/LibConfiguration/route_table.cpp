#include <LibConfiguration/route_table.h>

#include <LibCore/json_object_reader.h>
#include <absl/strings/ascii.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::size_t maximumContentBytes = 4 * 1024 * 1024;
constexpr std::size_t maximumServices = 10'000;
constexpr std::uint64_t maximumInteger = std::numeric_limits<std::uint32_t>::max();

// Host names are compared without their port and case-insensitively (RFC 9110, section 4.2.3).
std::string normalizedHost(std::string_view host)
{
    auto const colon = host.find(':');
    return absl::AsciiStrToLower(std::string(host.substr(0, colon)));
}

std::string dump(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<milliseconds> readMilliseconds(json_object_reader& reader, std::string const& key)
{
    return milliseconds(TRY(reader.number(key, 0, maximumInteger)));
}

} // namespace

result<route_table> route_table::tryCreate(std::vector<route> routes)
{
    route_table table;
    table.m_routes = std::move(routes);
    for (std::size_t i = 0; i < table.m_routes.size(); ++i) {
        auto const& added = table.m_routes[i];
        if (!added.pathPrefix.starts_with('/') || !added.pathPrefix.ends_with('/'))
            return error { error_kind::BadInput,
                "the prefix \"" + added.pathPrefix + "\" of route " + added.policy.name
                    + " does not begin and end with a slash",
                "write it in the form /orders/" };
        if (!table.m_indexesByHost[normalizedHost(added.host)].emplace(added.pathPrefix, i).second)
            return error { error_kind::BadInput,
                "two routes match " + added.host + added.pathPrefix + ", one of them " + added.policy.name,
                "remove one of them" };
    }
    return table;
}

route const* route_table::match(std::string_view host, std::string_view path) const
{
    auto const routes = m_indexesByHost.find(normalizedHost(host));
    if (routes == m_indexesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so only the parts of the path that end with a slash are looked up, longest first.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.substr(0, end).rfind('/')) {
        auto const found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end())
            return &m_routes[found->second];
        if (end == 0)
            break;
    }
    return nullptr;
}

std::string serializeMeshSettings(mesh_settings const& settings)
{
    auto services = nlohmann::json::array();
    for (auto const& service : settings.services)
        services.push_back({ { "name", service.name }, { "maximum_connections", service.maximumConnections } });
    return dump({ { "services", std::move(services) }, { "maximum_header_bytes", settings.limits.maximumHeaderBytes },
        { "maximum_body_bytes", settings.limits.maximumBodyBytes },
        { "header_timeout_ms", settings.limits.headerTimeout.count() },
        { "idle_timeout_ms", settings.limits.idleTimeout.count() } });
}

result<mesh_settings> parseMeshSettings(std::string_view content)
{
    auto const value = TRY(parseStrictJson(content, maximumContentBytes, "the mesh settings"));
    auto reader = TRY(json_object_reader::tryCreate(value, "the mesh settings"));
    mesh_settings settings;
    for (auto const& entry : *TRY(reader.list("services", maximumServices))) {
        auto service = TRY(json_object_reader::tryCreate(entry, "a service of the mesh settings"));
        placed_service read;
        read.name = TRY(service.text("name"));
        read.maximumConnections
            = static_cast<std::uint32_t>(TRY(service.number("maximum_connections", 0, maximumInteger)));
        TRY(service.finish());
        settings.services.push_back(std::move(read));
    }
    settings.limits.maximumHeaderBytes = TRY(reader.number("maximum_header_bytes", 1, maximumInteger));
    settings.limits.maximumBodyBytes = TRY(reader.number("maximum_body_bytes", 0, maximumInteger));
    settings.limits.headerTimeout = TRY(readMilliseconds(reader, "header_timeout_ms"));
    settings.limits.idleTimeout = TRY(readMilliseconds(reader, "idle_timeout_ms"));
    TRY(reader.finish());
    return settings;
}

} // namespace merlinpier
