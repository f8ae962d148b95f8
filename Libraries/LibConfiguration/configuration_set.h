#pragma once

#include <LibConfiguration/route_table.h>
#include <LibConfiguration/service_configuration.h>
#include <LibCore/result.h>
#include <LibTenants/tenant_directory.h>
#include <LibWire/configuration_messages.h>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace merlinpier {

// Number of an accepted version, counting from 1; 0 is the empty set before the first submission.
using version_number = std::uint64_t;

// Refers to one fragment of a version by the digest of its content.
struct manifest_entry {
    // The name of the service, or of a route or settings fragment.
    std::string service;
    std::uint64_t revision { 0 };
    std::string digest;

    bool operator==(manifest_entry const&) const = default;
};

// The list of a version's fragments, sorted by service.
struct manifest {
    version_number version { 0 };
    // The highest revision of any removed service. New services start above it, so that a service that is removed and
    // submitted again never reuses a revision for different answers.
    std::uint64_t revisionFloor { 0 };
    std::vector<manifest_entry> entries;

    bool operator==(manifest const&) const = default;
};

// Writes canonical JSON: equal manifests give equal bytes.
std::string serializeManifest(manifest const&);
// BadInput for JSON of another shape, or entries that are not sorted or not unique.
result<manifest> parseManifest(std::string_view content);

// One complete, valid and immutable version of the configuration.
class configuration_set {
public:
    // Checks every fragment against its digest, and the set as a whole: every dependency and allowed caller exists,
    // every service that a route forwards to is configured, licence identifiers are unique, limits hold. Fragments that
    // the manifest does not list are ignored. A fragment whose digest is part of the previous set is not hashed again,
    // and its routes are shared instead of parsed again.
    // - BadInput: a rule is violated, or the JSON of a fragment is invalid; the message names the rule or the key.
    // - Corrupt: a fragment does not match its digest or manifest entry, is not canonical, or its routes are malformed.
    // - NotFound: a fragment that the manifest lists was not passed.
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
    // Routes by host and path; empty if only questionnaires describe how services are called.
    route_table const& routes() const { return m_routes; }
    client_limits const& limits() const { return m_limits; }
    // Empty if the deployment has no tenants.
    tenant_directory const& tenants() const { return *m_tenants; }
    // Whether a copy with the licence may serve the service: the questionnaire lists the licence, or the platform
    // places the service's copies, which are licensed by the VM that they run on.
    bool isLicensed(std::string const& service, std::string const& licence) const;
    // The fragments of this version, except those with the given digests.
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
    std::shared_ptr<tenant_directory const> m_tenants { std::make_shared<tenant_directory const>() };
    // Digest of the fragment that m_tenants was read from.
    std::string m_tenantsDigest;
    // Contents of the fragments, by digest.
    std::map<std::string, std::string> m_contentsByDigest;
    // Parsed routes of the route fragments, by digest.
    std::map<std::string, std::shared_ptr<std::vector<route> const>> m_routesByDigest;
};

} // namespace merlinpier
