#pragma once

#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Detects, on a relay, the failed members of its own zone. A member that has been silent for one suspect timeout is
// suspected, and the relay probes it by heartbeats; after two, it counts as gone. When at least the partition
// threshold's share of the zone is silent, a network partition is assumed instead, and only members that announced that
// they leave count as gone.
class failure_detector {
public:
    failure_detector(duration suspectTimeout, double partitionThreshold);

    // To be called when a message or a newer record of the member itself arrives.
    void didReceiveFrom(std::string const& vm, time_point now);
    // Starts to monitor new members. Restarts the time-outs of all members if this daemon itself was paused for longer
    // than the suspect timeout.
    void observe(membership_table const&, std::string const& zone, std::string const& self, time_point now);
    // To be called when this daemon is not a relay (any more).
    void stop();

    std::vector<std::string> suspects(time_point now) const;
    // The members to be set Gone: after two suspect timeouts, unless a partition is assumed; leaving ones after one.
    std::vector<std::string> gone(membership_table const&, time_point now) const;

private:
    duration m_suspectTimeout;
    double m_partitionThreshold;
    std::map<std::string, time_point> m_lastHeard;
    std::optional<time_point> m_lastObservation;
};

} // namespace merlinpier
