#include <LibConfiguration/configuration_set.h>

#include <LibConfiguration/route_fragment.h>
#include <LibConfiguration/set_rules.h>
#include <LibCore/digest.h>
#include <LibCore/json_object_reader.h>
#include <LibTenants/tenant_fragment.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace merlinpier {

namespace {

constexpr std::size_t maximumManifestBytes = 1024 * 1024;
constexpr std::size_t maximumManifestEntries = 256;
// No slow start, because copies placed by the platform announce their own cold-start time.
constexpr milliseconds placedServiceSlowStart { 0 };
constexpr std::uint64_t maximumInteger = std::numeric_limits<std::int64_t>::max();

result<manifest_entry> readManifestEntry(nlohmann::json const& value)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "a manifest entry"));
    manifest_entry entry;
    entry.service = TRY(reader.text("service"));
    entry.revision = TRY(reader.number("revision", 1, maximumInteger));
    entry.digest = TRY(reader.text("digest"));
    TRY(reader.finish());
    return entry;
}

result<empty> checkSorted(manifest const& versionManifest)
{
    auto const isOutOfOrder = [](manifest_entry const& left, manifest_entry const& right) {
        return left.service >= right.service;
    };
    auto const found = std::adjacent_find(versionManifest.entries.begin(), versionManifest.entries.end(), isOutOfOrder);
    if (found == versionManifest.entries.end())
        return empty {};
    return error { error_kind::BadInput,
        "the manifest of version " + std::to_string(versionManifest.version) + " is not sorted at service \""
            + found->service + "\" or lists it twice",
        "fetch the version again from another peer or from the platform" };
}

// Parses the fragment's content and checks that it describes the service and revision of the manifest entry.
result<service_configuration> parseFragment(manifest_entry const& entry, std::string const& content)
{
    auto parsed = parseServiceConfiguration(content);
    if (parsed.isError()) {
        return error { parsed.failure().kind, "service \"" + entry.service + "\": " + parsed.failure().message,
            parsed.failure().remedy };
    }
    if (parsed.value().service != entry.service || parsed.value().revision != entry.revision) {
        return error { error_kind::Corrupt,
            "the manifest lists service \"" + entry.service + "\" at revision " + std::to_string(entry.revision)
                + ", but the fragment contains \"" + parsed.value().service + "\" at revision "
                + std::to_string(parsed.value().revision),
            "fetch the version again from another peer or from the platform" };
    }
    return parsed;
}

} // namespace

std::string serializeManifest(manifest const& versionManifest)
{
    auto entries = nlohmann::json::array();
    for (auto const& entry : versionManifest.entries)
        entries.push_back({ { "service", entry.service }, { "revision", entry.revision }, { "digest", entry.digest } });
    nlohmann::json const value { { "version", versionManifest.version },
        { "revision_floor", versionManifest.revisionFloor }, { "entries", std::move(entries) } };
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<manifest> parseManifest(std::string_view content)
{
    auto const value = TRY(parseStrictJson(content, maximumManifestBytes, "the manifest"));
    auto reader = TRY(json_object_reader::tryCreate(value, "the manifest"));
    manifest versionManifest;
    versionManifest.version = TRY(reader.number("version", 0, maximumInteger));
    versionManifest.revisionFloor = TRY(reader.number("revision_floor", 0, maximumInteger));
    for (auto const& entry : *TRY(reader.list("entries", maximumManifestEntries)))
        versionManifest.entries.push_back(TRY(readManifestEntry(entry)));
    TRY(reader.finish());
    TRY(checkSorted(versionManifest));
    return versionManifest;
}

result<std::shared_ptr<configuration_set const>> configuration_set::tryCreate(
    manifest versionManifest, std::vector<wire_fragment> const& fragments, configuration_set const* previous)
{
    TRY(checkSorted(versionManifest));
    std::shared_ptr<configuration_set> set(new configuration_set);
    std::vector<route> routes;
    mesh_settings meshSettings;
    std::map<std::string, std::string const*> contentsByDigest;
    for (auto const& fragment : fragments)
        contentsByDigest.emplace(fragment.digest, &fragment.content);
    for (auto const& entry : versionManifest.entries) {
        auto const found = contentsByDigest.find(entry.digest);
        if (found == contentsByDigest.end()) {
            return error { error_kind::NotFound,
                "fragment " + entry.digest + " of service \"" + entry.service + "\" is missing",
                "fetch it from another peer or from the platform" };
        }
        bool const isVerified = previous && previous->m_contentsByDigest.contains(entry.digest);
        if (!isVerified && contentDigest(*found->second) != entry.digest) {
            return error { error_kind::Corrupt,
                "the content of service \"" + entry.service + "\" does not have the digest " + entry.digest,
                "fetch it again from another peer or from the platform" };
        }
        if (entry.service == meshSettingsFragment) {
            meshSettings = TRY(parseMeshSettings(*found->second));
        } else if (entry.service == tenantsFragment) {
            bool const isReusable = previous && previous->m_tenantsDigest == entry.digest;
            set->m_tenants = isReusable ? previous->m_tenants
                                        : std::make_shared<tenant_directory const>(TRY(parseTenants(*found->second)));
            set->m_tenantsDigest = entry.digest;
        } else if (entry.service.starts_with(routesFragmentPrefix)) {
            auto const known = previous ? previous->m_routesByDigest.find(entry.digest) : set->m_routesByDigest.end();
            bool const isReusable = previous && known != previous->m_routesByDigest.end();
            auto const read = isReusable ? known->second
                                         : std::make_shared<std::vector<route> const>(TRY(parseRoutes(*found->second)));
            routes.insert(routes.end(), read->begin(), read->end());
            set->m_routesByDigest.emplace(entry.digest, read);
        } else {
            set->m_services.emplace(entry.service, TRY(parseFragment(entry, *found->second)));
        }
        set->m_contentsByDigest.emplace(entry.digest, *found->second);
    }
    TRY(checkServices(set->m_services));
    TRY(set->addPlacedServices(meshSettings));
    set->m_routes = TRY(route_table::tryCreate(std::move(routes)));
    TRY(set->checkRoutes());
    set->m_digest = contentDigest(serializeManifest(versionManifest));
    set->m_manifest = std::move(versionManifest);
    return std::shared_ptr<configuration_set const>(std::move(set));
}

std::shared_ptr<configuration_set const> configuration_set::createEmpty()
{
    std::shared_ptr<configuration_set> set(new configuration_set);
    set->m_digest = contentDigest(serializeManifest(set->m_manifest));
    return set;
}

service_configuration const* configuration_set::service(std::string const& name) const
{
    auto const found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

bool configuration_set::isLicensed(std::string const& service, std::string const& licence) const
{
    if (m_placedServices.contains(service))
        return true;
    auto const* configured = this->service(service);
    if (!configured)
        return false;
    auto const& licences = configured->answers.licences;
    return std::find(licences.begin(), licences.end(), licence) != licences.end();
}

result<empty> configuration_set::addPlacedServices(mesh_settings const& settings)
{
    m_limits = settings.limits;
    for (auto const& placed : settings.services) {
        if (m_services.contains(placed.name))
            return error { error_kind::BadInput,
                "service \"" + placed.name
                    + "\" is defined twice: by a questionnaire and the mesh settings, or twice in the mesh settings",
                "rename one of the two" };
        service_configuration service;
        service.service = placed.name;
        service.answers.service = placed.name;
        service.answers.allowedCallers = { "*" };
        service.slowStart = placedServiceSlowStart;
        m_services.emplace(placed.name, std::move(service));
        m_placedServices.insert(placed.name);
    }
    return empty {};
}

result<empty> configuration_set::checkRoutes() const
{
    for (auto const& checked : m_routes.routes()) {
        for (auto const& share : checked.services) {
            if (!m_services.contains(share.service))
                return error { error_kind::BadInput,
                    "route " + checked.policy.name + " forwards to service \"" + share.service
                        + "\", which is not configured",
                    "configure the service, or let the route forward to another one" };
        }
    }
    return empty {};
}

std::vector<wire_fragment> configuration_set::fragmentsExcept(std::vector<std::string> const& knownDigests) const
{
    std::set<std::string> const known(knownDigests.begin(), knownDigests.end());
    std::vector<wire_fragment> fragments;
    for (auto const& entry : m_manifest.entries) {
        if (!known.contains(entry.digest))
            fragments.push_back({ entry.service, entry.digest, m_contentsByDigest.at(entry.digest) });
    }
    return fragments;
}

std::vector<std::string> configuration_set::digests() const
{
    std::vector<std::string> digests;
    for (auto const& entry : m_manifest.entries)
        digests.push_back(entry.digest);
    return digests;
}

} // namespace merlinpier
