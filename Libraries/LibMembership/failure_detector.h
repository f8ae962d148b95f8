#pragma once

#include <LibCore/time.h>
#include <LibMembership/membership_table.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Judges, on a relay, which members of its own zone are silent: suspected after one timeout, when they are probed by
// heartbeats of the relay; gone after two. When a large share of the zone is silent, the network is taken to be cut
// rather than the members dead, and nobody is gone.
class failure_detector {
public:
    failure_detector(duration suspectTimeout, double partitionThreshold);

    // The member itself was heard, or its owner raised its record.
    void didReceiveFrom(std::string const& vm, time_point now);
    // Starts to watch members that are new, and all anew if this daemon itself was paused for longer than the timeout.
    void observe(membership_table const&, std::string const& zone, std::string const& self, time_point now);
    // This daemon is no relay (any more).
    void stop();

    std::vector<std::string> suspects(time_point now) const;
    // The suspects that are gone by now: none if it looks like a cut.
    std::vector<std::string> gone(membership_table const&, time_point now) const;

private:
    duration m_suspectTimeout;
    double m_partitionThreshold;
    std::map<std::string, time_point> m_lastHeard;
    std::optional<time_point> m_lastObservation;
};

} // namespace merlinpier
