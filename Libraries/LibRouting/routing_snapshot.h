#pragma once

#include <LibConfiguration/configuration_set.h>
#include <LibCore/result.h>
#include <LibMembership/membership_table.h>
#include <LibRouting/departed_targets.h>
#include <LibRouting/version_access.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// A target as a call addresses it: an instance of a service, with the daemon that serves its VM.
struct route_target {
    std::string id;
    std::string vm;
    std::string zone;
    // The peer address of the daemon on the target's VM.
    std::string address;
    // The instance number of that daemon process. Calls are bound to it, since each process has a ledger of its own.
    std::uint64_t instance { 0 };
    // How many calls the target runs at once.
    std::uint32_t slots { 0 };
    // Version of the target's software; empty if it is not known.
    std::string version {};
    // Bandwidth of the link of the target's VM; 0 if it is not known.
    std::uint32_t linkMbps { 0 };

    bool operator==(route_target const&) const = default;
};

// A service with its configuration and the targets that serve it.
struct service_route {
    service_configuration configuration;
    // Targets that take new calls, in order of id.
    std::vector<route_target> targets;
    // Licensed targets that are leaving, in order of id: they take no new calls, but still answer repeats of calls with
    // an idempotency key that they have run.
    std::vector<route_target> leaving;

    bool operator==(service_route const&) const = default;

    // Returns the entry point for a method and a path, or null. The query is ignored. Of several matches, the one
    // with a literal segment in the first place where another has a "{name}" parameter takes precedence.
    entry_point_answer const* match(std::string_view method, std::string_view path) const;
};

// An immutable view of the configuration and the membership for routing. A new snapshot is built while the old one
// is in use and replaces it by exchanging one pointer. It refers only to services of its configuration and to targets
// of its membership.
class routing_snapshot {
public:
    // Routes only to Ready targets on Alive members whose licence is listed in the service's answers. Where several
    // targets claim one licence, only the one with the highest claim counts; among equal claims, the one with the
    // smallest VM name, then the smallest id. Targets that are known to have begun to leave count as leaving, whatever
    // their records show. Targets of versions that get only canary calls are listed apart; those of versions that are
    // held get no calls.
    static std::shared_ptr<routing_snapshot const> build(std::shared_ptr<configuration_set const> const&,
        membership_table const&, departed_targets const& = {}, version_rules const& = {});

    version_number version() const { return m_version; }
    // Returns null if the configuration has no such service.
    service_route const* service(std::string const& name) const;
    // The targets of the service's new version, while a rollout grants it a share of the calls; null if there are none.
    service_route const* canary(std::string const& name) const;
    // The targets of the service's version that a rollout replaces; null if there are none.
    service_route const* replaced(std::string const& name) const;
    std::map<std::string, service_route> const& canaries() const { return m_canaries; }
    std::map<std::string, service_route> const& services() const { return m_services; }
    // The configured routes by host and path.
    route_table const& routes() const { return m_configuration->routes(); }
    // The limits on requests of clients.
    client_limits const& limits() const { return m_configuration->limits(); }
    // The tenants; empty if the deployment has none.
    tenant_directory const& tenants() const { return m_configuration->tenants(); }
    // Checks that every route refers to a service of the configuration and to a routable target of the membership; the
    // error names the first that does not.
    result<empty> verify(configuration_set const&, membership_table const&) const;

private:
    version_number m_version { 0 };
    std::shared_ptr<configuration_set const> m_configuration;
    std::map<std::string, service_route> m_services;
    // Only services with canary targets.
    std::map<std::string, service_route> m_canaries;
    std::map<std::string, service_route> m_replaced;
};

} // namespace merlinpier
