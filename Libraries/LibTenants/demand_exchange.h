#pragma once

#include <LibCore/time.h>
#include <LibWire/membership_messages.h>
#include <string>
#include <vector>

namespace merlinpier {

// What the membership protocol carries for the limits of tenants. The first relay of a zone adds up what the VMs of
// the zone are offered, exchanges the sums with the first relays of the other zones, and answers with the sums over all
// zones. Only tenants with a limit are named, and only those whose demand has changed or was not named for a while.
class demand_exchange {
public:
    virtual ~demand_exchange() = default;

    // Whether there is anything to exchange here now.
    virtual bool isActive() const = 0;
    // Whether this daemon is the first relay of its zone.
    virtual void setRelaying(bool, time_point now) = 0;

    // Whether the demand here has changed so much that the next report should not wait for the next heartbeat.
    virtual bool isReportUrgent(time_point now) = 0;
    // What is to be reported to the relay now.
    virtual std::vector<tenant_demand> takeReport(time_point now) = 0;
    // The relay's answer: sums over all zones.
    virtual void didReceiveSums(std::vector<tenant_demand> const&, time_point now) = 0;

    // As relay: takes a VM's report, which may be empty, and returns the answer.
    virtual std::vector<tenant_demand> didReceiveReport(
        std::string const& vm, std::vector<tenant_demand> const&, time_point now)
        = 0;
    // As relay: whether a report is to be sent to the relay of the other zone now, apart from its heartbeats.
    virtual bool isZoneReportDue(std::string const& zone, time_point now) = 0;
    virtual std::vector<tenant_demand> takeZoneReport(std::string const& zone, time_point now) = 0;
    virtual void didReceiveZoneReport(std::string const& zone, std::vector<tenant_demand> const&, time_point now) = 0;
};

} // namespace merlinpier
