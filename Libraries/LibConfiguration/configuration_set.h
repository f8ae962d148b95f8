#pragma once

#include <LibConfiguration/route_table.h>
#include <LibConfiguration/service_configuration.h>
#include <LibCore/result.h>
#include <LibWire/configuration_messages.h>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// Numbers the accepted versions: 1, 2, 3... 0 is the empty set before the first submission.
using version_number = std::uint64_t;

// Names one fragment of a version.
struct manifest_entry {
    std::string service;
    std::uint64_t revision { 0 };
    std::string digest;

    bool operator==(manifest_entry const&) const = default;
};

// The list of a version's fragments, sorted by service.
struct manifest {
    version_number version { 0 };
    // The highest revision that a removed service ever had. A new service starts above it, so that a service that is
    // removed and submitted anew never shows an operator a revision that stood for other answers.
    std::uint64_t revisionFloor { 0 };
    std::vector<manifest_entry> entries;

    bool operator==(manifest const&) const = default;
};

// Writes canonical JSON: equal manifests give equal bytes.
std::string serializeManifest(manifest const&);
// BadInput for anything but what serializeManifest() writes.
result<manifest> parseManifest(std::string_view content);

// One whole, valid, immutable version of the configuration.
class configuration_set {
public:
    // Checks every fragment against its digest and the set as a whole: each dependency and named caller exists, licence
    // identifiers are unique, limits are sane. BadInput names the service and the rule; Corrupt a digest that differs;
    // NotFound a fragment that is not among those given. Fragments that the manifest does not name are passed over.
    // What the previous set holds under the same digest is taken from there without reading it again.
    static result<std::shared_ptr<configuration_set const>> tryCreate(
        manifest, std::vector<wire_fragment> const& fragments, configuration_set const* previous = nullptr);
    // Version 0, without services.
    static std::shared_ptr<configuration_set const> createEmpty();

    version_number version() const { return m_manifest.version; }
    merlinpier::manifest const& versionManifest() const { return m_manifest; }
    // Digest of the serialized manifest.
    std::string const& digest() const { return m_digest; }
    std::map<std::string, service_configuration> const& services() const { return m_services; }
    service_configuration const* service(std::string const& name) const;
    // Routes by host and path; empty where only questionnaires describe how services are called.
    route_table const& routes() const { return m_routes; }
    client_limits const& limits() const { return m_limits; }
    // Whether a copy with the licence may serve the service: the questionnaire lists the licence, or the platform
    // places the service's copies, each of which is licensed by the VM that it runs on.
    bool isLicensed(std::string const& service, std::string const& licence) const;
    // The fragments of this version as sent to others, less those whose digests are named.
    std::vector<wire_fragment> fragmentsExcept(std::vector<std::string> const& knownDigests) const;
    std::vector<std::string> digests() const;

private:
    configuration_set() = default;
    result<empty> addPlacedServices(mesh_settings const&);
    result<empty> checkRoutes() const;
    merlinpier::manifest m_manifest;
    std::string m_digest;
    std::map<std::string, service_configuration> m_services;
    std::set<std::string> m_placedServices;
    route_table m_routes;
    client_limits m_limits;
    std::map<std::string, std::string> m_contents;
    // The routes of each fragment, by its digest.
    std::map<std::string, std::shared_ptr<std::vector<route> const>> m_routeFragments;
};

} // namespace merlinpier
