#pragma once

#include <LibTenants/allotment_bucket.h>
#include <LibTenants/demand_exchange.h>
#include <LibTenants/demand_rate.h>
#include <LibTenants/demand_table.h>
#include <LibTenants/tenant.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// What one daemon knows of the use of one tenant's limit, for operators.
struct tenant_use {
    std::string name;
    // Requests since the daemon's start.
    std::uint64_t allowed { 0 };
    std::uint64_t limited { 0 };
    // Requests a second that clients send to this daemon now.
    double ownDemand { 0 };
    // Requests a second that clients send to all daemons; nothing if it is not known.
    std::optional<double> fleetDemand;
    // The part of the limit that this daemon may use now, and the tokens that it has; 0 without a limit.
    double share { 0 };
    double tokens { 0 };

    bool operator==(tenant_use const&) const = default;
};

// Decides at one daemon which requests of tenants are within their limits. The limit of a tenant holds for all daemons
// together: each uses a share of it that follows the demand it sees. No sockets, threads or clocks.
class tenant_quotas final : public demand_exchange {
public:
    explicit tenant_quotas(time_point startedAt);

    // The number of daemons, for shares while the demand elsewhere is not known, and how many of them this one knows of
    // as members. A relay that knows of less than half of them gives no sums: after a restart of many daemons, a few
    // that have found only each other would each take the whole limit.
    void setDaemons(std::size_t count, std::size_t known);
    // Counts a request of the tenant. Returns nothing if it may run, and otherwise the time after which it may come
    // again.
    std::optional<duration> take(tenant const&, time_point now);
    // A request that was allowed has not run.
    void didNotRun(std::string const& tenantName, time_point now);
    // Forgets tenants that have sent nothing for a while.
    void expire(time_point now);
    // In order of demand here, greatest first.
    std::vector<tenant_use> uses(time_point now);
    std::optional<tenant_use> use(std::string const& tenantName, time_point now);
    // What the daemon, as relay, has added up; for the state dump.
    bool isRelaying() const { return m_isRelaying; }

    // ^demand_exchange
    bool isActive() const override;
    void setRelaying(bool, time_point now) override;
    bool isReportUrgent(time_point now) override;
    std::vector<tenant_demand> takeReport(time_point now) override;
    void didReceiveSums(std::vector<tenant_demand> const&, time_point now) override;
    std::vector<tenant_demand> didReceiveReport(
        std::string const& vm, std::vector<tenant_demand> const&, time_point now) override;
    bool isZoneReportDue(std::string const& zone, time_point now) override;
    std::vector<tenant_demand> takeZoneReport(std::string const& zone, time_point now) override;
    void didReceiveZoneReport(std::string const& zone, std::vector<tenant_demand> const&, time_point now) override;

private:
    struct tenant_state {
        std::string name;
        demand_rate demand;
        std::optional<allotment_bucket> bucket;
        std::uint64_t allowed { 0 };
        std::uint64_t limited { 0 };
        time_point lastRequest {};
        // What the relay was told last.
        double reported { 0 };
        std::optional<time_point> reportedAt;
        // Until then the sum may change quickly, so it is asked for often.
        time_point asksUntil {};
    };

    void prepareBucket(tenant_state&, tenant const&, time_point now);
    // The demand to report.
    static double demandOf(tenant_state&, time_point now);
    // Whether the demand here or the sum has just made a step.
    bool isAsking(tenant_state&, time_point now) const;
    bool isReportDue(tenant_state&, double demand, time_point now) const;
    void exchangeOwn(time_point now);
    // Whether the sums that this relay has cover the fleet.
    bool canAnswer(time_point now) const;
    tenant_use useOf(tenant_state&, time_point now) const;

    time_point m_startedAt;
    // Before it is known, a number at which no daemon takes the whole limit for itself.
    std::size_t m_daemons { 16 };
    std::size_t m_knownDaemons { 16 };
    std::map<std::uint64_t, tenant_state> m_tenants;
    demand_table m_table;
    bool m_isRelaying { false };
    time_point m_lastReport {};
    time_point m_nextOwnExchange {};
    time_point m_lastRelayed {};
};

} // namespace merlinpier
