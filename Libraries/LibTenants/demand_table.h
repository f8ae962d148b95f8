#pragma once

#include <LibCore/time.h>
#include <LibWire/membership_messages.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// The first relay's sums of the demand for each tenant: over the VMs of its own zone, and over all zones. Demand is in
// thousandths of a request a second. Zones that have fallen silent may be cut off and still serve: their last demand
// stays in the sums, and is taken to rise as that of the own zone does, so that each side of a partition keeps its
// share of the limit.
class demand_table {
public:
    void clear(time_point now);
    // Takes what a VM of the own zone reports, and returns the sums over all zones of the tenants that it names, and of
    // those whose sum has changed since it was told.
    std::vector<tenant_demand> didReport(std::string const& vm, std::vector<tenant_demand> const&, time_point now);
    // Takes the sums of another zone.
    void didReportZone(std::string const& zone, std::vector<tenant_demand> const&, time_point now);
    // Whether the sums of the own zone have changed so much that the zone's relay should learn of it at once.
    bool isZoneReportDue(std::string const& zone, time_point now) const;
    // The sums of the own zone that have changed, or were not sent to that zone for a while.
    std::vector<tenant_demand> takeZoneReport(std::string const& zone, time_point now);
    // The sum over all zones.
    std::uint64_t sum(std::uint64_t tenant, time_point now) const;
    std::uint64_t zoneSum(std::uint64_t tenant) const;
    // Forgets VMs and tenants that were not reported for a while.
    void expire(time_point now);
    // Whether all other zones that have been heard of, and the VMs of the own one, had time to report.
    bool isComplete(time_point now) const;

private:
    struct vm_entry {
        std::uint64_t demand { 0 };
        // The sum over all zones that the VM was last told; nothing if none.
        std::optional<std::uint64_t> told;
        time_point at {};
    };
    struct zone_entry {
        std::uint64_t demand { 0 };
        // The own zone's demand at that time.
        std::uint64_t ownThen { 0 };
        time_point at {};
    };
    struct remote_zone {
        std::map<std::uint64_t, zone_entry> demand;
        time_point lastHeard {};
    };
    struct sent_entry {
        std::uint64_t demand { 0 };
        time_point at {};
    };
    struct sent_zone {
        std::map<std::uint64_t, sent_entry> demand;
        time_point lastSent {};
    };

    void setDemand(vm_entry&, std::uint64_t tenant, std::uint64_t demand);

    std::map<std::string, std::map<std::uint64_t, vm_entry>> m_vms;
    std::map<std::uint64_t, std::uint64_t> m_zoneSums;
    std::map<std::string, remote_zone> m_remote;
    std::map<std::string, sent_zone> m_sent;
    time_point m_since {};
    time_point m_nextExpiry {};
};

} // namespace merlinpier
