#pragma once

#include <LibMetrics/metrics.h>
#include <LibRouting/routing_snapshot.h>
#include <LibTenants/tenant_quotas.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace merlinpier {

// The limits of tenants as a process part: drives tenant_quotas with requests and time, and tells operators what it
// decides.
class tenant_part {
public:
    explicit tenant_part(metrics&);

    demand_exchange& exchange() { return m_quotas; }
    void setDaemons(std::size_t count, std::size_t known) { m_quotas.setDaemons(count, known); }
    // Counts a request of a client against its tenant's limit. Returns nothing if it may run, and otherwise the time
    // after which it may come again.
    std::optional<milliseconds> take(tenant const&);
    // A request that was allowed has not run.
    void didNotRun(std::string const& tenantName);
    void tick();

    // The tenants of the configuration with their use here, as JSON.
    std::string allJson(tenant_directory const&);
    // One of them; nothing if the configuration has no such tenant.
    std::optional<std::string> oneJson(tenant_directory const&, std::string const& name);
    // Sets the gauges of the tenants with the greatest demand here, and of the others together.
    void setGauges();

private:
    // Requests refused since the last line about the tenant.
    struct limited_log {
        time_point next {};
        std::uint64_t refused { 0 };
    };

    void logLimited(std::string const& tenantName, milliseconds retryAfter, time_point now);

    metrics& m_metrics;
    tenant_quotas m_quotas { currentTime() };
    std::map<std::string, limited_log> m_limitedLogs;
    time_point m_nextExpiry {};
    // Labels whose gauges are set; they are removed when the tenant is no longer among the greatest.
    std::set<std::string> m_gaugeLabels;
};

} // namespace merlinpier
